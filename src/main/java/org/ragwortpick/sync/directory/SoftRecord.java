package org.ragwortpick.sync.directory;

import java.util.Objects;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;
import org.ragwortpick.sync.VmRecord;

/**
 * Record that VMs exchange and merge.
 *
 * <p>The merge is commutative, associative and idempotent, so that all VMs converge in whatever
 * order the records arrive.
 */
public sealed interface SoftRecord {

  /**
   * Returns the key of the record.
   *
   * @return key, unique over all kinds
   */
  String key();

  /**
   * Merges this record into the known one of the same key.
   *
   * @param known known record
   * @return the merged record; the known one itself if this record adds nothing
   */
  SoftRecord mergedInto(SoftRecord known);

  /**
   * Tells whether two records differ in sequence and load only.
   *
   * @param other other record of the same key
   * @return true if a load message is enough to make one the other
   */
  default boolean differsInLoadOnly(SoftRecord other) {
    return false;
  }

  /**
   * Record of a VM.
   *
   * @param record the record
   */
  record OfVm(VmRecord record) implements SoftRecord {

    /**
     * Returns the key of a VM record.
     *
     * @param vm name of the VM
     * @return the key
     */
    public static String keyOf(String vm) {
      return "v/" + vm;
    }

    @Override
    public String key() {
      return keyOf(record.vm());
    }

    @Override
    public SoftRecord mergedInto(SoftRecord known) {
      VmRecord old = ((OfVm) known).record();
      if (record.incarnation() != old.incarnation()) {
        return record.incarnation() > old.incarnation() ? this : known;
      }
      return record.sequence() > old.sequence() ? this : known;
    }
  }

  /**
   * Judgement of the leader about one incarnation.
   *
   * @param kind what is judged
   * @param id name of the VM or identity of the upstream
   * @param incarnation judged incarnation
   * @param stamp order of the judgement
   * @param set whether the VM is lost or the upstream is warm
   */
  record Flag(Kind kind, String id, long incarnation, Stamp stamp, boolean set)
      implements SoftRecord {

    /** What a flag tells. */
    public enum Kind {
      /** The VM was not heard from within the VM timeout. */
      VM_LOST,
      /** The upstream takes its full number of requests. */
      UPSTREAM_WARM
    }

    /**
     * Returns the key of a flag.
     *
     * @param kind what is judged
     * @param id name of the VM or identity of the upstream
     * @return the key
     */
    public static String keyOf(Kind kind, String id) {
      return (kind == Kind.VM_LOST ? "l/" : "w/") + id;
    }

    @Override
    public String key() {
      return keyOf(kind, id);
    }

    @Override
    public SoftRecord mergedInto(SoftRecord known) {
      return stamp.compareTo(((Flag) known).stamp()) > 0 ? this : known;
    }
  }

  /**
   * Record of an upstream with its home VM.
   *
   * @param upstream the record, with the load in coarse levels
   * @param homeVm VM to which the upstream last announced itself
   * @param homeIncarnation incarnation of that VM
   * @param left whether the incarnation announced that it is leaving; never reset
   */
  record OfUpstream(Upstream upstream, String homeVm, long homeIncarnation, boolean left)
      implements SoftRecord {

    /**
     * Returns the key of an upstream record.
     *
     * @param id identity of the upstream
     * @return the key
     */
    public static String keyOf(String id) {
      return "u/" + id;
    }

    @Override
    public String key() {
      return keyOf(upstream.id());
    }

    @Override
    public SoftRecord mergedInto(SoftRecord other) {
      OfUpstream known = (OfUpstream) other;
      if (upstream.incarnation() != known.upstream.incarnation()) {
        return upstream.incarnation() > known.upstream.incarnation() ? this : known;
      }
      OfUpstream newest = isNewerThan(known) ? this : known;
      if (!left && !known.left) {
        return newest;
      }
      OfUpstream merged = newest.leaving();
      return merged.equals(known) ? known : merged;
    }

    private OfUpstream leaving() {
      UpstreamState state = upstream.state();
      if (left && (state == UpstreamState.LEAVING || state == UpstreamState.LOST)) {
        return this;
      }
      UpstreamState sticky = state == UpstreamState.LOST ? state : UpstreamState.LEAVING;
      return new OfUpstream(
          UpstreamStates.with(upstream, sticky, upstream.load()), homeVm, homeIncarnation, true);
    }

    /** A loss is judged after the last announcement, so it wins at the same sequence. */
    private boolean isNewerThan(OfUpstream known) {
      if (upstream.sequence() != known.upstream.sequence()) {
        return upstream.sequence() > known.upstream.sequence();
      }
      boolean lost = upstream.state() == UpstreamState.LOST;
      boolean knownLost = known.upstream.state() == UpstreamState.LOST;
      if (lost != knownLost) {
        return lost;
      }
      // One announcement that reached two homes: any fixed order makes all VMs agree.
      int byHome = homeVm.compareTo(known.homeVm);
      return byHome != 0 ? byHome > 0 : homeIncarnation > known.homeIncarnation;
    }

    @Override
    public boolean differsInLoadOnly(SoftRecord other) {
      return other instanceof OfUpstream
          && withLoadOf(((OfUpstream) other).upstream()).equals(other);
    }

    /**
     * Returns a checksum of what a load message leaves out and the merge depends on.
     *
     * @return the checksum, equal on all VMs for equal records
     */
    public int bodyChecksum() {
      return Objects.hash(
          upstream.incarnation(), upstream.state().ordinal(), homeVm, homeIncarnation, left);
    }

    private OfUpstream withLoadOf(Upstream newer) {
      return withLoad(newer.sequence(), newer.load());
    }

    /**
     * Returns the record with another sequence and load.
     *
     * @param sequence sequence of the announcement
     * @param load load in coarse levels
     * @return the record
     */
    public OfUpstream withLoad(long sequence, int load) {
      return new OfUpstream(
          UpstreamStates.with(
              UpstreamStates.withSequence(upstream, sequence), upstream.state(), load),
          homeVm,
          homeIncarnation,
          left);
    }
  }
}
