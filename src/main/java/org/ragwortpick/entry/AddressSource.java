package org.ragwortpick.entry;

/** Source of the caller addresses that callers should use. */
public interface AddressSource {

  /**
   * Returns the addresses to use now.
   *
   * @return the addresses, best first
   */
  AddressAnswer addresses();
}
