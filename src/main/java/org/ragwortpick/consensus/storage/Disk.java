package org.ragwortpick.consensus.storage;

import java.io.IOException;
import java.util.List;

/** Folder on a disk. File content is durable only once it is synced. */
public interface Disk {

  /**
   * Lists the files of the folder.
   *
   * @return file names in no particular order
   * @throws IOException if the folder cannot be read
   */
  List<String> list() throws IOException;

  /**
   * Reads a file.
   *
   * @param name file name
   * @return its content
   * @throws IOException if the file cannot be read
   */
  byte[] read(String name) throws IOException;

  /**
   * Creates an empty file. An existing file is emptied.
   *
   * @param name file name
   * @return the file, open for writing
   * @throws IOException if the file cannot be created
   */
  DiskFile create(String name) throws IOException;

  /**
   * Renames a file and syncs the folder. An existing file with the new name is replaced.
   *
   * @param from current name
   * @param to new name
   * @throws IOException if the rename is not known to be durable
   */
  void rename(String from, String to) throws IOException;

  /**
   * Deletes a file.
   *
   * @param name file name
   * @throws IOException if the file cannot be deleted
   */
  void delete(String name) throws IOException;
}
