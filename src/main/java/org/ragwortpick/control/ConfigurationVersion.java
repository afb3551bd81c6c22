package org.ragwortpick.control;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.ConfigurationDocuments;

/**
 * Committed configuration at one revision.
 *
 * @param configuration the configuration
 * @param documents its documents by key
 */
public record ConfigurationVersion(
    Configuration configuration, SortedMap<String, String> documents) {

  /** Copies the documents. */
  public ConfigurationVersion {
    documents = Collections.unmodifiableSortedMap(new TreeMap<>(documents));
  }

  /**
   * Decodes documents.
   *
   * @param revision revision of the documents
   * @param documents JSON texts by document key
   * @return the configuration
   */
  static ConfigurationVersion of(long revision, SortedMap<String, String> documents) {
    return new ConfigurationVersion(
        ConfigurationDocuments.fromDocuments(revision, documents), documents);
  }

  /**
   * Returns the revision.
   *
   * @return revision; 0 before the first change
   */
  public long revision() {
    return configuration.revision();
  }
}
