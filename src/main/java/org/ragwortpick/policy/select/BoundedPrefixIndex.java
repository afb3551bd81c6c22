package org.ragwortpick.policy.select;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.ragwortpick.policy.CacheEvent;
import org.ragwortpick.policy.PrefixIndex;

/**
 * Prefix index in bounded memory. Each engine keeps its most recently stored prefixes up to a
 * bound; reads take no lock.
 */
public final class BoundedPrefixIndex implements PrefixIndex {

  private final int maxPrefixesPerEngine;
  private final int maxPrefixes;
  private final Map<String, EnginePart> engines = new HashMap<>();
  private final ConcurrentHashMap<Long, List<String>> holdersByPrefix = new ConcurrentHashMap<>();
  private int prefixes;

  /** What is known about one engine. */
  private static final class EnginePart {
    private final LinkedHashSet<Long> prefixes = new LinkedHashSet<>();
    private long incarnation = -1;
    private long lastSequence;
    private boolean gap;
  }

  /**
   * Creates an index.
   *
   * @param maxPrefixesPerEngine most prefixes kept for one engine
   * @param maxPrefixes most prefixes kept for all engines together
   */
  public BoundedPrefixIndex(int maxPrefixesPerEngine, int maxPrefixes) {
    this.maxPrefixesPerEngine = maxPrefixesPerEngine;
    this.maxPrefixes = maxPrefixes;
  }

  @Override
  public synchronized void recordAnswer(String upstreamId, long prefixHash) {
    if (prefixHash != 0) {
      EnginePart part = engines.computeIfAbsent(upstreamId, id -> new EnginePart());
      store(upstreamId, part, prefixHash);
    }
  }

  @Override
  public synchronized boolean apply(CacheEvent event) {
    EnginePart part = engines.computeIfAbsent(event.upstreamId(), id -> new EnginePart());
    if (event.incarnation() < part.incarnation) {
      return !part.gap;
    }
    if (event.incarnation() > part.incarnation) {
      clear(event.upstreamId(), part);
      part.incarnation = event.incarnation();
      part.lastSequence = 0;
      part.gap = false;
    }
    if (part.gap || event.sequence() <= part.lastSequence) {
      return !part.gap;
    }
    if (event.sequence() != part.lastSequence + 1) {
      clear(event.upstreamId(), part);
      part.gap = true;
      return false;
    }
    part.lastSequence = event.sequence();
    switch (event.kind()) {
      case STORED -> store(event.upstreamId(), part, event.prefixHash());
      case EVICTED -> evict(event.upstreamId(), part, event.prefixHash());
      case CLEARED -> clear(event.upstreamId(), part);
      default -> throw new IllegalArgumentException("unknown cache event kind " + event.kind());
    }
    return true;
  }

  @Override
  public synchronized void applySnapshot(
      String upstreamId, long incarnation, long sequence, Set<Long> prefixHashes) {
    EnginePart part = engines.computeIfAbsent(upstreamId, id -> new EnginePart());
    boolean outdated =
        incarnation < part.incarnation
            || incarnation == part.incarnation && sequence < part.lastSequence;
    if (outdated) {
      return;
    }
    clear(upstreamId, part);
    part.incarnation = incarnation;
    part.lastSequence = sequence;
    part.gap = false;
    prefixHashes.forEach(hash -> store(upstreamId, part, hash));
  }

  @Override
  public synchronized boolean needsSnapshot(String upstreamId) {
    EnginePart part = engines.get(upstreamId);
    return part != null && part.gap;
  }

  @Override
  public synchronized void remove(String upstreamId) {
    EnginePart part = engines.remove(upstreamId);
    if (part != null) {
      clear(upstreamId, part);
    }
  }

  @Override
  public List<String> holders(long prefixHash) {
    return holdersByPrefix.getOrDefault(prefixHash, List.of());
  }

  /**
   * Counts the prefixes of all engines; a prefix that two engines hold counts twice.
   *
   * @return number of prefixes
   */
  public synchronized int size() {
    return prefixes;
  }

  private void store(String upstreamId, EnginePart part, long hash) {
    if (part.prefixes.remove(hash)) {
      part.prefixes.add(hash);
      return;
    }
    boolean full = part.prefixes.size() >= maxPrefixesPerEngine || prefixes >= maxPrefixes;
    if (full) {
      Iterator<Long> oldest = part.prefixes.iterator();
      if (!oldest.hasNext()) {
        return;
      }
      evict(upstreamId, part, oldest.next());
    }
    part.prefixes.add(hash);
    prefixes++;
    holdersByPrefix.merge(hash, List.of(upstreamId), BoundedPrefixIndex::concat);
  }

  private void evict(String upstreamId, EnginePart part, long hash) {
    if (part.prefixes.remove(hash)) {
      removeHolder(upstreamId, hash);
    }
  }

  private void clear(String upstreamId, EnginePart part) {
    part.prefixes.forEach(hash -> removeHolder(upstreamId, hash));
    part.prefixes.clear();
  }

  private void removeHolder(String upstreamId, long hash) {
    prefixes--;
    holdersByPrefix.computeIfPresent(hash, (key, holders) -> without(holders, upstreamId));
  }

  private static List<String> concat(List<String> holders, List<String> added) {
    List<String> all = new ArrayList<>(holders.size() + added.size());
    all.addAll(holders);
    all.addAll(added);
    return List.copyOf(all);
  }

  private static List<String> without(List<String> holders, String removed) {
    List<String> kept = holders.stream().filter(id -> !id.equals(removed)).toList();
    return kept.isEmpty() ? null : kept;
  }
}
