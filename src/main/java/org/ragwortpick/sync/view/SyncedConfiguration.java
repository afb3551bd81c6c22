package org.ragwortpick.sync.view;

import java.time.Clock;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.ConfigurationDocuments;
import org.ragwortpick.config.DocumentHistory;
import org.ragwortpick.sync.ConfigurationDelta;
import org.ragwortpick.sync.ConfigurationView;
import org.ragwortpick.sync.SyncTimings;

/**
 * Configuration view whose revision never decreases, and which is in force while its confirmation
 * is younger than the configuration lease.
 *
 * <p>It stores the revision of the last change of each document, so that a relay can compute deltas
 * for the VMs that poll it.
 */
public final class SyncedConfiguration implements ConfigurationView {

  private final Clock clock;
  private final SortedMap<String, String> documents = new TreeMap<>();
  private DocumentHistory history = new DocumentHistory(0);
  private volatile Configuration configuration = Configuration.EMPTY;
  private volatile long confirmedAtMs;

  /**
   * Creates a view without a configuration.
   *
   * @param clock monotonic clock
   */
  public SyncedConfiguration(Clock clock) {
    this.clock = clock;
  }

  @Override
  public Configuration current() {
    return configuration;
  }

  @Override
  public boolean isInForce() {
    return isWithinLease(confirmedAtMs);
  }

  @Override
  public long confirmedAtMs() {
    return confirmedAtMs;
  }

  /**
   * Tells whether a confirmation of the given time is still valid.
   *
   * @param confirmationMs time of the confirmation in milliseconds; 0 for none
   * @return true if it is younger than the lease
   */
  public boolean isWithinLease(long confirmationMs) {
    return confirmationMs > 0 && clock.millis() - confirmationMs < SyncTimings.CONFIG_LEASE_MS;
  }

  /**
   * Applies the response of a source. It is refused as a whole if its confirmation is older than
   * the lease or its changes do not start at the current revision.
   *
   * @param delta changes up to the revision of the source
   * @param confirmationMs time in milliseconds at which the revision of the source was confirmed as
   *     current
   * @return true if the response was accepted
   * @throws IllegalStateException if the revision would decrease
   */
  public synchronized boolean accept(ConfigurationDelta delta, long confirmationMs) {
    if (!advance(delta, confirmationMs)) {
      return false;
    }
    // A source at a lower revision confirms the view too, because the local revision includes it.
    confirmedAtMs = Math.max(confirmedAtMs, confirmationMs);
    return true;
  }

  /**
   * Applies changes without renewing the confirmation of the view, because newer changes are known
   * to exist or older records are missing. The earlier confirmation stays valid, because the new
   * revision includes the one that it was about.
   *
   * @param delta changes up to a committed revision
   * @param confirmationMs time in milliseconds of the confirmation that the source had
   * @return false if the changes were refused, because the confirmation is older than the lease or
   *     they do not start at the current revision
   * @throws IllegalStateException if the revision would decrease
   */
  public synchronized boolean advance(ConfigurationDelta delta, long confirmationMs) {
    long previousRevision = configuration.revision();
    if (!isWithinLease(confirmationMs)) {
      return false;
    }
    if (delta.revision() > previousRevision) {
      if (!delta.snapshot() && delta.fromRevision() != previousRevision) {
        return false;
      }
      Configuration before = configuration;
      apply(delta);
      DataCentreChangeLog.onConfiguration(before, configuration, clock.millis() - confirmationMs);
    }
    if (configuration.revision() < previousRevision
        || configuration.revision() < delta.revision()) {
      throw new IllegalStateException(
          "configuration revision would change from "
              + previousRevision
              + " to "
              + configuration.revision()
              + " after a delta to "
              + delta.revision());
    }
    return true;
  }

  /**
   * Renews the confirmation, if the view contains the confirmed revision.
   *
   * @param revision revision that was confirmed as current
   * @param confirmationMs time in milliseconds at which it was current
   */
  public synchronized void confirm(long revision, long confirmationMs) {
    if (revision <= configuration.revision() && isWithinLease(confirmationMs)) {
      confirmedAtMs = Math.max(confirmedAtMs, confirmationMs);
    }
  }

  private void apply(ConfigurationDelta delta) {
    if (delta.snapshot()) {
      documents.clear();
      history = new DocumentHistory(delta.revision());
    }
    documents.putAll(delta.puts());
    delta.deletes().forEach(documents::remove);
    history.record(delta.revision(), delta.puts().keySet(), delta.deletes());
    configuration = ConfigurationDocuments.fromDocuments(delta.revision(), documents);
  }

  /**
   * Returns the changes since a revision for a VM that polls this one.
   *
   * @param revision revision of that VM
   * @return the changes, or all documents if the changes since then are not stored
   */
  public synchronized ConfigurationDelta deltaSince(long revision) {
    long currentRevision = configuration.revision();
    if (revision > currentRevision) {
      // The receiver is ahead: it needs the confirmation only.
      return new ConfigurationDelta(revision, currentRevision, false, new TreeMap<>(), List.of());
    }
    return history
        .since(revision, currentRevision, documents)
        .map(
            changes ->
                new ConfigurationDelta(
                    revision,
                    currentRevision,
                    false,
                    changes.puts(),
                    List.copyOf(changes.deletes())))
        .orElseGet(
            () ->
                new ConfigurationDelta(
                    0, currentRevision, true, new TreeMap<>(documents), List.of()));
  }
}
