package org.ragwortpick.control;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.ConfigurationDocuments;

/**
 * Committed configuration at one revision. The documents are decoded on first use, because decoding
 * thousands of workspaces is slow and must not delay the commands that follow a change.
 */
public final class ConfigurationVersion {

  private final long revision;
  private final SortedMap<String, String> documents;
  private volatile Configuration configuration;

  /**
   * Creates a version.
   *
   * @param revision revision of the documents
   * @param documents JSON texts by document key
   */
  public ConfigurationVersion(long revision, SortedMap<String, String> documents) {
    this.revision = revision;
    this.documents = Collections.unmodifiableSortedMap(new TreeMap<>(documents));
  }

  /**
   * Returns the revision.
   *
   * @return revision; 0 before the first change
   */
  public long revision() {
    return revision;
  }

  /**
   * Returns the documents.
   *
   * @return JSON texts by document key
   */
  public SortedMap<String, String> documents() {
    return documents;
  }

  /**
   * Returns the decoded configuration.
   *
   * @return the configuration
   */
  public Configuration configuration() {
    Configuration decoded = configuration;
    if (decoded == null) {
      // Two threads may decode concurrently; their results are equal.
      decoded = ConfigurationDocuments.fromDocuments(revision, documents);
      configuration = decoded;
    }
    return decoded;
  }
}
