/** Storage of the consensus module: disk access, log files and the identity of the disk. */
package org.ragwortpick.consensus.storage;
