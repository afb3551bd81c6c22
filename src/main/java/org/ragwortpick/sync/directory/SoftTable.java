package org.ragwortpick.sync.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Records of one VM with the version at which each last changed.
 *
 * <p>A receiver that states the version up to which it knows the table gets only the records
 * changed since then. Records that came first-hand or from VMs that poll this one are also offered
 * to the source of this VM.
 */
public final class SoftTable {

  private final Map<String, Entry> entries = new HashMap<>();
  private final TreeMap<Long, Entry> byVersion = new TreeMap<>();
  private final TreeMap<Long, Entry> byOffer = new TreeMap<>();
  private volatile long version;

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
   * Merges a record that came first-hand or from a VM that polls this one.
   *
   * @param incoming the record
   * @param fromVm VM from which it came
   * @return true if the table changed
   */
  public synchronized boolean mergeFromBelow(SoftRecord incoming, String fromVm) {
    Entry entry = entries.get(incoming.key());
    boolean changed = merge(incoming);
    Entry merged = entries.get(incoming.key());
    if (changed) {
      merged.fromVm = merged.current.equals(incoming) ? fromVm : "";
    }
    // An equal record is offered too: the source may never have heard of it.
    if (changed || (entry.offer == 0 && merged.current.equals(incoming))) {
      offer(merged);
    }
    return changed;
  }

  /**
   * Merges a record of the source that this VM polls.
   *
   * @param incoming the record
   * @return true if the table changed
   */
  public synchronized boolean mergeFromAbove(SoftRecord incoming) {
    boolean changed = merge(incoming);
    if (!changed) {
      // An echo changes nothing: the record is offered again to a source that lost its memory.
      return false;
    }
    Entry entry = entries.get(incoming.key());
    entry.fromVm = "";
    if (entry.current.equals(incoming)) {
      withdraw(entry);
    } else {
      offer(entry);
    }
    return true;
  }

  private boolean merge(SoftRecord incoming) {
    Entry entry = entries.get(incoming.key());
    if (entry == null) {
      entry = new Entry(incoming);
      entries.put(incoming.key(), entry);
      entry.bodyVersion = touch(entry);
      return true;
    }
    SoftRecord merged = incoming.mergedInto(entry.current);
    if (merged.equals(entry.current)) {
      return false;
    }
    boolean loadOnly = merged.differsInLoadOnly(entry.current);
    entry.current = merged;
    long changedAt = touch(entry);
    if (!loadOnly) {
      entry.bodyVersion = changedAt;
    }
    return true;
  }

  private long touch(Entry entry) {
    byVersion.remove(entry.version);
    version++;
    entry.version = version;
    byVersion.put(version, entry);
    return version;
  }

  private void offer(Entry entry) {
    byOffer.remove(entry.offer);
    version++;
    entry.offeredFrom = entry.offer == 0 ? version : entry.offeredFrom;
    entry.offer = version;
    byOffer.put(version, entry);
  }

  private void withdraw(Entry entry) {
    byOffer.remove(entry.offer);
    entry.offer = 0;
  }

  /**
   * Lists the records changed after a version. Records that came from the receiver are left out
   * unless it knows nothing of the table.
   *
   * @param cursor version known to the receiver; 0 for none
   * @param receiverVm name of the receiver
   * @return the changes in order of version
   */
  public synchronized Changes changedSince(long cursor, String receiverVm) {
    List<Entry> changed =
        byVersion.tailMap(cursor, false).values().stream()
            .filter(entry -> cursor == 0 || !entry.fromVm.equals(receiverVm))
            .toList();
    return changes(changed, entry -> entry.bodyVersion <= cursor);
  }

  /**
   * Lists the records to offer to the source of this VM.
   *
   * @param accepted version up to which the source accepted the offers; 0 for none
   * @return the changes in order of version
   */
  public synchronized Changes offeredSince(long accepted) {
    return changes(
        byOffer.tailMap(accepted, false).values(),
        entry -> entry.bodyVersion <= accepted && entry.offeredFrom <= accepted);
  }

  private Changes changes(Collection<Entry> changed, Predicate<Entry> bodyKnown) {
    List<SoftRecord> bodies = new ArrayList<>();
    List<SoftRecord.OfUpstream> loads = new ArrayList<>();
    for (Entry entry : changed) {
      if (entry.current instanceof SoftRecord.OfUpstream upstream && bodyKnown.test(entry)) {
        loads.add(upstream);
      } else {
        bodies.add(entry.current);
      }
    }
    return new Changes(version, bodies, loads);
  }

  /**
   * Drops a record. The receivers drop it by their own timers.
   *
   * @param key key of the record
   */
  public synchronized void remove(String key) {
    Entry entry = entries.remove(key);
    if (entry != null) {
      byVersion.remove(entry.version);
      byOffer.remove(entry.offer);
      version++;
    }
  }

  /**
   * Changed records.
   *
   * @param version version of the table that contains them
   * @param bodies records to send as a whole
   * @param loads records of which only sequence and load changed
   */
  public record Changes(long version, List<SoftRecord> bodies, List<SoftRecord.OfUpstream> loads) {}

  private static final class Entry {
    private SoftRecord current;
    private String fromVm = "";
    private long version;
    private long bodyVersion;
    private long offer;
    private long offeredFrom;

    private Entry(SoftRecord current) {
      this.current = current;
    }
  }
}
