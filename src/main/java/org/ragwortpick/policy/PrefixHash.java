package org.ragwortpick.policy;

/** Hash of the prefix of a prompt, the same on all VMs and engines. */
public final class PrefixHash {

  /**
   * Prompts with the same first characters, up to this number, share most of their cached prefix.
   */
  public static final int PREFIX_CHARACTERS = 256;

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private PrefixHash() {}

  /**
   * Hashes the first characters of a prompt.
   *
   * @param prompt the prompt
   * @return hash; 0 only for an empty prompt
   */
  public static long of(String prompt) {
    if (prompt.isEmpty()) {
      return 0;
    }
    long hash = FNV_OFFSET;
    int end = Math.min(PREFIX_CHARACTERS, prompt.length());
    for (int i = 0; i < end; i++) {
      hash = (hash ^ prompt.charAt(i)) * FNV_PRIME;
    }
    return hash == 0 ? 1 : hash;
  }
}
