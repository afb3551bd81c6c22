package org.ragwortpick.sync.rpc;

import org.ragwortpick.proto.DemandMessage;
import org.ragwortpick.proto.GrantMessage;
import org.ragwortpick.sync.allowance.Demand;
import org.ragwortpick.sync.allowance.Grant;
import org.ragwortpick.sync.directory.Stamp;

/** Conversion of demands and grants to and from protobuf messages. */
public final class AllowanceCodec {

  private AllowanceCodec() {}

  /**
   * Encodes a demand.
   *
   * @param demand the demand
   * @return the message
   */
  public static DemandMessage encode(Demand demand) {
    return DemandMessage.newBuilder()
        .setHolder(demand.holder())
        .setHolderIncarnation(demand.holderIncarnation())
        .setSentAtMs(demand.sentAtMs())
        .setUpstream(demand.upstream())
        .setUpstreamIncarnation(demand.upstreamIncarnation())
        .setWanted(demand.wanted())
        .setGrantTerm(demand.accepted().term())
        .setGrantNumber(demand.accepted().number())
        .setInFlight(demand.inFlight())
        .setKeeps(demand.keeps())
        .setFlagTerm(demand.warmFlag().term())
        .setFlagNumber(demand.warmFlag().number())
        .setSuspected(demand.suspected())
        .build();
  }

  /**
   * Decodes a demand.
   *
   * @param message the message
   * @return the demand
   */
  public static Demand decode(DemandMessage message) {
    return new Demand(
        message.getHolder(),
        message.getHolderIncarnation(),
        message.getSentAtMs(),
        message.getUpstream(),
        message.getUpstreamIncarnation(),
        message.getWanted(),
        new Stamp(message.getGrantTerm(), message.getGrantNumber()),
        message.getInFlight(),
        message.getKeeps(),
        new Stamp(message.getFlagTerm(), message.getFlagNumber()),
        message.getSuspected());
  }

  /**
   * Encodes a grant.
   *
   * @param grant the grant
   * @return the message
   */
  public static GrantMessage encode(Grant grant) {
    return GrantMessage.newBuilder()
        .setHolder(grant.holder())
        .setHolderIncarnation(grant.holderIncarnation())
        .setDemandSentAtMs(grant.demandSentAtMs())
        .setUpstream(grant.upstream())
        .setUpstreamIncarnation(grant.upstreamIncarnation())
        .setAmount(grant.amount())
        .setTerm(grant.stamp().term())
        .setNumber(grant.stamp().number())
        .build();
  }

  /**
   * Decodes a grant.
   *
   * @param message the message
   * @return the grant
   */
  public static Grant decode(GrantMessage message) {
    return new Grant(
        message.getHolder(),
        message.getHolderIncarnation(),
        message.getDemandSentAtMs(),
        message.getUpstream(),
        message.getUpstreamIncarnation(),
        message.getAmount(),
        new Stamp(message.getTerm(), message.getNumber()));
  }
}
