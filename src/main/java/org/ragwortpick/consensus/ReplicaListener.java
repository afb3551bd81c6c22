package org.ragwortpick.consensus;

import java.io.IOException;
import org.ragwortpick.consensus.raft.RaftStatus;

/** Receives the changes and failures of a replica. Called on the thread of the group. */
interface ReplicaListener {

  /**
   * Called when the role, the term, the leader, the voters or the learners have changed.
   *
   * @param previous status before the change
   * @param current status after it
   */
  void onChanged(RaftStatus previous, RaftStatus current);

  /**
   * Called when a replica stops because of an error in the program. It stays stopped until the
   * process is restarted.
   *
   * @param cause the error
   */
  void onStopped(Throwable cause);

  /**
   * Called when the disk has refused a write. The replica tries again until a write succeeds.
   *
   * @param cause the error
   */
  void onStorageLost(IOException cause);

  /**
   * Called when a write succeeds after refused ones.
   *
   * @param lostMs time since the first refused write in milliseconds
   */
  void onStorageRegained(long lostMs);
}
