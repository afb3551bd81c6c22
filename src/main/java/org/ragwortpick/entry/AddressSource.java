package org.ragwortpick.entry;

/** Source of the entry VM addresses to which callers should send their requests. */
public interface AddressSource {

  /**
   * Returns the addresses to use at this moment.
   *
   * @return the addresses, the preferred one first
   */
  AddressResponse current();
}
