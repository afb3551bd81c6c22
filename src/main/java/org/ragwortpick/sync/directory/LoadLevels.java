package org.ragwortpick.sync.directory;

/** Rounds loads to coarse levels, so that small changes cause no messages. */
public final class LoadLevels {

  /** Levels of an upstream; an eighth of its slots is less than the error due to a report's age. */
  private static final int UPSTREAM_LEVELS = 8;

  private LoadLevels() {}

  /**
   * Rounds the load of an upstream up to the next eighth of its slots.
   *
   * @param load requests that it runs
   * @param slots requests that it runs at once when warm
   * @return rounded load
   */
  public static int ofUpstream(int load, int slots) {
    if (load <= 0) {
      return 0;
    }
    int step = Math.max(1, slots / UPSTREAM_LEVELS);
    return ((load + step - 1) / step) * step;
  }

  /**
   * Rounds the load of a VM up to the next power of two.
   *
   * @param load requests in flight
   * @return rounded load
   */
  public static int ofVm(int load) {
    return load <= 1 ? Math.max(0, load) : Integer.highestOneBit(load - 1) << 1;
  }
}
