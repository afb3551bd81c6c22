package org.ragwortpick.sync.directory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Soft-state records of one VM with the table version at which each last changed.
 *
 * <p>A receiver that sends the version up to which it has the table receives only the records
 * changed since then. Records that originate on this VM or come from VMs that poll it are also
 * offered to the source that this VM polls.
 */
public final class SoftTable {

  private final Map<String, Entry> entries = new HashMap<>();
  private final TreeMap<Long, Entry> byVersion = new TreeMap<>();
  private final TreeMap<Long, Entry> byOfferVersion = new TreeMap<>();
  private volatile long version;
  private volatile long crashEvidenceVersion;

  /** Creates an empty table. */
  public SoftTable() {}

  /**
   * Returns the version of the newest change.
   *
   * @return the version; 0 for an empty table
   */
  public long version() {
    return version;
  }

  /**
   * Returns the version of the newest change of evidence about crashes.
   *
   * @return the version; 0 without such evidence
   */
  public long crashEvidenceVersion() {
    return crashEvidenceVersion;
  }

  /**
   * Finds a record.
   *
   * @param key key of the record
   * @return the record, or empty if there is none
   */
  public synchronized Optional<SoftRecord> find(String key) {
    return Optional.ofNullable(entries.get(key)).map(entry -> entry.current);
  }

  /**
   * Lists all records.
   *
   * @return a copy
   */
  public synchronized List<SoftRecord> all() {
    return entries.values().stream().map(entry -> entry.current).toList();
  }

  /**
   * Merges a record that originates on this VM or comes from a VM that polls it.
   *
   * @param incoming the record
   * @param fromVm VM that sent the record
   * @return true if the table changed
   */
  public synchronized boolean mergeFromPoller(SoftRecord incoming, String fromVm) {
    Entry entry = entries.get(incoming.key());
    boolean changed = merge(incoming);
    Entry merged = entries.get(incoming.key());
    if (changed) {
      merged.fromVm = merged.current.equals(incoming) ? fromVm : "";
    }
    // An equal record is offered too, because the source may not have received it.
    if (changed || (entry.offerVersion == 0 && merged.current.equals(incoming))) {
      offerRecord(merged);
    }
    return changed;
  }

  /**
   * Merges a record from the source that this VM polls, or a flag that it sets as the leader.
   *
   * @param incoming the record
   * @return true if the table changed
   */
  public synchronized boolean mergeFromSource(SoftRecord incoming) {
    boolean changed = merge(incoming);
    if (!changed) {
      // An offer is not withdrawn when the source returns it, because the source may restart and
      // lose the record.
      return false;
    }
    Entry entry = entries.get(incoming.key());
    entry.fromVm = "";
    if (entry.current.equals(incoming)) {
      withdraw(entry);
    } else {
      offerRecord(entry);
    }
    return true;
  }

  private boolean merge(SoftRecord incoming) {
    Entry entry = entries.get(incoming.key());
    if (entry == null) {
      entry = new Entry(incoming);
      entries.put(incoming.key(), entry);
      entry.bodyVersion = assignVersion(entry);
      return true;
    }
    SoftRecord merged = incoming.mergedInto(entry.current);
    if (merged.equals(entry.current)) {
      return false;
    }
    boolean loadOnly = merged.differsInLoadOnly(entry.current);
    entry.current = merged;
    long changedVersion = assignVersion(entry);
    if (!loadOnly) {
      entry.bodyVersion = changedVersion;
    }
    return true;
  }

  private long assignVersion(Entry entry) {
    byVersion.remove(entry.version);
    version++;
    entry.version = version;
    byVersion.put(version, entry);
    if (entry.current instanceof SoftRecord.OfCrashEvidence) {
      crashEvidenceVersion = version;
    }
    return version;
  }

  private void offerRecord(Entry entry) {
    byOfferVersion.remove(entry.offerVersion);
    version++;
    entry.offeredSinceVersion = entry.offerVersion == 0 ? version : entry.offeredSinceVersion;
    entry.offerVersion = version;
    byOfferVersion.put(version, entry);
  }

  private void withdraw(Entry entry) {
    byOfferVersion.remove(entry.offerVersion);
    entry.offerVersion = 0;
  }

  /**
   * Lists records changed after a version, as many as one message may contain. Records that came
   * from the receiver are omitted once it has had all records.
   *
   * @param cursor version up to which the receiver has received changes; 0 for none
   * @param completeCursor cursor of the last time at which the receiver had all records; 0 for
   *     never
   * @param receiverVm name of the receiver
   * @param limit limit of the message
   * @return the changes in order of version
   */
  public synchronized Changes changedSince(
      long cursor, long completeCursor, String receiverVm, MessageLimit limit) {
    // The body of a record that changed while the receiver got the others may never have been sent.
    return changes(
        byVersion.tailMap(cursor, false),
        entry -> completeCursor == 0 || !entry.fromVm.equals(receiverVm),
        entry -> entry.bodyVersion <= completeCursor,
        limit);
  }

  /**
   * Lists records to offer to the source of this VM, as many as one message may contain.
   *
   * @param acceptedVersion version up to which the source accepted the offers; 0 for none
   * @param completeVersion accepted version of the last time at which the source had all offers; 0
   *     for never
   * @param limit limit of the message
   * @return the changes in order of version
   */
  public synchronized Changes offeredSince(
      long acceptedVersion, long completeVersion, MessageLimit limit) {
    return changes(
        byOfferVersion.tailMap(acceptedVersion, false),
        entry -> true,
        entry ->
            entry.bodyVersion <= completeVersion && entry.offeredSinceVersion <= completeVersion,
        limit);
  }

  private Changes changes(
      SortedMap<Long, Entry> changed,
      Predicate<Entry> isSent,
      Predicate<Entry> receiverHasBody,
      MessageLimit limit) {
    List<SoftRecord> bodies = new ArrayList<>();
    List<SoftRecord.OfUpstream> loads = new ArrayList<>();
    long lastVersion = 0;
    for (Map.Entry<Long, Entry> next : changed.entrySet()) {
      Entry entry = next.getValue();
      if (isSent.test(entry)) {
        boolean loadOnly =
            entry.current instanceof SoftRecord.OfUpstream && receiverHasBody.test(entry);
        if (!limit.admits(entry.current, loadOnly) && bodies.size() + loads.size() > 0) {
          return new Changes(lastVersion, false, bodies, loads);
        }
        if (loadOnly) {
          loads.add((SoftRecord.OfUpstream) entry.current);
        } else {
          bodies.add(entry.current);
        }
      }
      lastVersion = next.getKey();
    }
    return new Changes(version, true, bodies, loads);
  }

  /**
   * Removes a record. Other VMs remove it by their own timers.
   *
   * @param key key of the record
   */
  public synchronized void remove(String key) {
    Entry entry = entries.remove(key);
    if (entry != null) {
      byVersion.remove(entry.version);
      byOfferVersion.remove(entry.offerVersion);
      version++;
      if (entry.current instanceof SoftRecord.OfCrashEvidence) {
        crashEvidenceVersion = version;
      }
    }
  }

  /**
   * Changed records.
   *
   * @param version version of the table up to which it contains the changes
   * @param complete whether there are no further changes
   * @param bodies records to send in full
   * @param loads records of which only sequence and load changed
   */
  public record Changes(
      long version, boolean complete, List<SoftRecord> bodies, List<SoftRecord.OfUpstream> loads) {}

  /** Limits the records of one message. The first record is sent in any case. */
  @FunctionalInterface
  public interface MessageLimit {

    /** Admits all records. */
    MessageLimit NONE = (record, loadOnly) -> true;

    /**
     * Adds a record to the message if there is room for it.
     *
     * @param record the record
     * @param loadOnly whether only its sequence and load are sent
     * @return false if there is no room
     */
    boolean admits(SoftRecord record, boolean loadOnly);
  }

  private static final class Entry {
    private SoftRecord current;

    /** Poller that sent the current record unchanged; empty after a merge or from the source. */
    private String fromVm = "";

    private long version;

    /** Version of the last change of a field other than sequence and load. */
    private long bodyVersion;

    /** Version of the latest offer to the source of this VM; 0 if the record is not offered. */
    private long offerVersion;

    /** Version from which the record has been offered without interruption. */
    private long offeredSinceVersion;

    private Entry(SoftRecord current) {
      this.current = current;
    }
  }
}
