package org.ragwortpick.sync.rpc;

/** Age of the confirmation in a response, which decides about the source of the next polls. */
public enum SourceQuality {
  /** Recent enough to poll the source again. */
  FRESH,
  /** Used, while a control VM with a more recent confirmation is searched. */
  LAGGING,
  /** Too old or not usable; another source has to be polled. */
  UNUSABLE
}
