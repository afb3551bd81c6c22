package org.ragwortpick.consensus.transport;

import com.google.protobuf.UnsafeByteOperations;
import java.util.Optional;
import org.ragwortpick.consensus.raft.Envelope;
import org.ragwortpick.consensus.raft.Membership;
import org.ragwortpick.consensus.raft.Message;
import org.ragwortpick.consensus.raft.RaftSnapshot;
import org.ragwortpick.consensus.storage.RecordCodec;
import org.ragwortpick.proto.ConsensusMessage;
import org.ragwortpick.proto.RaftAppendRequest;
import org.ragwortpick.proto.RaftAppendResponse;
import org.ragwortpick.proto.RaftJoinRequest;
import org.ragwortpick.proto.RaftSnapshotChunk;
import org.ragwortpick.proto.RaftSnapshotResponse;
import org.ragwortpick.proto.RaftVoteRequest;
import org.ragwortpick.proto.RaftVoteResponse;

/** Converts messages from and to their protobuf form. */
public final class MessageCodec {

  private MessageCodec() {}

  /**
   * Encodes a message.
   *
   * @param envelope the message
   * @return protobuf form, which shares the data of entries and snapshots
   */
  public static ConsensusMessage encode(Envelope envelope) {
    ConsensusMessage.Builder builder =
        ConsensusMessage.newBuilder().setFrom(envelope.from()).setTo(envelope.to());
    Message message = envelope.message();
    if (message instanceof Message.VoteRequest request) {
      builder.setVoteRequest(encode(request));
    } else if (message instanceof Message.VoteResponse response) {
      builder.setVoteResponse(encode(response));
    } else if (message instanceof Message.AppendRequest request) {
      builder.setAppendRequest(encode(request));
    } else if (message instanceof Message.AppendResponse response) {
      builder.setAppendResponse(encode(response));
    } else if (message instanceof Message.SnapshotChunk chunk) {
      builder.setSnapshotChunk(encode(chunk));
    } else if (message instanceof Message.SnapshotResponse response) {
      builder.setSnapshotResponse(encode(response));
    } else {
      builder.setJoinRequest(RaftJoinRequest.getDefaultInstance());
    }
    return builder.build();
  }

  /**
   * Decodes a message.
   *
   * @param message protobuf form
   * @return the message; empty if its kind is unknown, as from a newer peer
   */
  public static Optional<Envelope> decode(ConsensusMessage message) {
    Message content =
        switch (message.getContentCase()) {
          case VOTE_REQUEST -> decode(message.getVoteRequest());
          case VOTE_RESPONSE -> decode(message.getVoteResponse());
          case APPEND_REQUEST -> decode(message.getAppendRequest());
          case APPEND_RESPONSE -> decode(message.getAppendResponse());
          case SNAPSHOT_CHUNK -> decode(message.getSnapshotChunk());
          case SNAPSHOT_RESPONSE -> decode(message.getSnapshotResponse());
          case JOIN_REQUEST -> new Message.JoinRequest();
          default -> null;
        };
    return Optional.ofNullable(content)
        .map(decoded -> new Envelope(message.getFrom(), message.getTo(), decoded));
  }

  private static RaftVoteRequest encode(Message.VoteRequest request) {
    return RaftVoteRequest.newBuilder()
        .setTerm(request.term())
        .setLastIndex(request.lastIndex())
        .setLastTerm(request.lastTerm())
        .setPreVote(request.preVote())
        .build();
  }

  private static RaftVoteResponse encode(Message.VoteResponse response) {
    return RaftVoteResponse.newBuilder()
        .setTerm(response.term())
        .setPreVote(response.preVote())
        .setGranted(response.granted())
        .build();
  }

  private static RaftAppendRequest encode(Message.AppendRequest request) {
    RaftAppendRequest.Builder builder =
        RaftAppendRequest.newBuilder()
            .setTerm(request.term())
            .setPreviousIndex(request.previousIndex())
            .setPreviousTerm(request.previousTerm())
            .setCommitIndex(request.commitIndex())
            .setSentAtMs(request.sentAtMs());
    request.entries().forEach(entry -> builder.addEntries(RecordCodec.encode(entry)));
    return builder.build();
  }

  private static RaftAppendResponse encode(Message.AppendResponse response) {
    return RaftAppendResponse.newBuilder()
        .setTerm(response.term())
        .setSuccess(response.success())
        .setMatchIndex(response.matchIndex())
        .setRejectedIndex(response.rejectedIndex())
        .setSentAtMs(response.sentAtMs())
        .build();
  }

  private static RaftSnapshotChunk encode(Message.SnapshotChunk chunk) {
    return RaftSnapshotChunk.newBuilder()
        .setTerm(chunk.term())
        .setSnapshotIndex(chunk.snapshot().index())
        .setSnapshotTerm(chunk.snapshot().term())
        .setMembership(UnsafeByteOperations.unsafeWrap(chunk.snapshot().membership().encode()))
        .setTotalBytes(chunk.totalBytes())
        .setOffset(chunk.offset())
        .setData(UnsafeByteOperations.unsafeWrap(chunk.data()))
        .setSentAtMs(chunk.sentAtMs())
        .build();
  }

  private static RaftSnapshotResponse encode(Message.SnapshotResponse response) {
    return RaftSnapshotResponse.newBuilder()
        .setTerm(response.term())
        .setSnapshotIndex(response.snapshotIndex())
        .setNextOffset(response.nextOffset())
        .setSentAtMs(response.sentAtMs())
        .build();
  }

  private static Message decode(RaftVoteRequest request) {
    return new Message.VoteRequest(
        request.getTerm(), request.getLastIndex(), request.getLastTerm(), request.getPreVote());
  }

  private static Message decode(RaftVoteResponse response) {
    return new Message.VoteResponse(
        response.getTerm(), response.getPreVote(), response.getGranted());
  }

  private static Message decode(RaftAppendRequest request) {
    return new Message.AppendRequest(
        request.getTerm(),
        request.getPreviousIndex(),
        request.getPreviousTerm(),
        request.getEntriesList().stream().map(RecordCodec::decode).toList(),
        request.getCommitIndex(),
        request.getSentAtMs());
  }

  private static Message decode(RaftAppendResponse response) {
    return new Message.AppendResponse(
        response.getTerm(),
        response.getSuccess(),
        response.getMatchIndex(),
        response.getRejectedIndex(),
        response.getSentAtMs());
  }

  private static Message decode(RaftSnapshotChunk chunk) {
    RaftSnapshot snapshot =
        new RaftSnapshot(
            chunk.getSnapshotIndex(),
            chunk.getSnapshotTerm(),
            Membership.decode(chunk.getMembership().toByteArray()),
            new byte[0]);
    return new Message.SnapshotChunk(
        chunk.getTerm(),
        snapshot,
        chunk.getTotalBytes(),
        chunk.getOffset(),
        chunk.getData().toByteArray(),
        chunk.getSentAtMs());
  }

  private static Message decode(RaftSnapshotResponse response) {
    return new Message.SnapshotResponse(
        response.getTerm(),
        response.getSnapshotIndex(),
        response.getNextOffset(),
        response.getSentAtMs());
  }
}
