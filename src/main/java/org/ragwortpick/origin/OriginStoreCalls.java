package org.ragwortpick.origin;

import java.util.List;
import java.util.function.Consumer;
import org.ragwortpick.common.HostPort;

/** Calls to the stores of control VMs. Each calls back once, later, on the thread of the caller. */
interface OriginStoreCalls {

  /**
   * Sends records.
   *
   * @param store peer address of the control VM
   * @param records the records
   * @param done receives whether the store replied in time
   */
  void record(HostPort store, List<OriginRecord> records, Consumer<Boolean> done);

  /**
   * Asks for the record of a request.
   *
   * @param store peer address of the control VM
   * @param key key of the request
   * @param answered receives the answer; unknown if the call failed
   */
  void find(HostPort store, OriginKey key, Consumer<OriginAnswer> answered);
}
