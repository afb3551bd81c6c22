package org.ragwortpick.cli;

/** Entry point of the program. */
public final class Main {

  private Main() {}

  /**
   * Runs the sub-command named by the first argument.
   *
   * @param args command line
   */
  public static void main(String[] args) {
    System.exit(2);
  }
}
