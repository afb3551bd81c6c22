package org.ragwortpick.sync;

import java.util.List;
import java.util.SortedMap;

/**
 * Changes of configuration documents between two revisions.
 *
 * @param fromRevision revision to which the changes apply; ignored for a snapshot
 * @param revision revision after the changes
 * @param snapshot whether the puts are all documents
 * @param puts changed documents by key
 * @param deletes keys of deleted documents
 */
public record ConfigurationDelta(
    long fromRevision,
    long revision,
    boolean snapshot,
    SortedMap<String, String> puts,
    List<String> deletes) {}
