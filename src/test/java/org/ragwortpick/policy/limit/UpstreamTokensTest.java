package org.ragwortpick.policy.limit;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.policy.TestUpstreams;
import org.testng.annotations.Test;

/** Guards against upstreams that end because they hold more tokens than they have memory for. */
public final class UpstreamTokensTest {

  private static final String SERVICE = "engines";
  private static final long MEMORY = 80_000;
  private static final TokenDemand PLAIN = new TokenDemand(10_000, 0, 0);
  private static final TokenDemand SHARING = new TokenDemand(10_000, 9_000, 42);

  private final UpstreamTokens tokens = new UpstreamTokens();

  private static Candidate candidate(String id, double others) {
    return new Candidate(TestUpstreams.ready(id, "dc", 0), 0, 0, true, others, 1, others);
  }

  private static List<Candidate> both(double others) {
    return List.of(candidate("a", others), candidate("b", others));
  }

  private List<Boolean> available(List<Candidate> candidates, TokenDemand demand) {
    return tokens.limit(SERVICE, candidates, demand, MEMORY).stream()
        .map(Candidate::isAvailable)
        .toList();
  }

  private void send(String id, TokenDemand demand, int requests) {
    for (int i = 0; i < requests; i++) {
      tokens.recordStart(SERVICE, id, demand);
    }
  }

  @Test
  public void fullUpstreamIsExcludedUntilOneOfItsRequestsEnds() {
    UpstreamTokensTest test = new UpstreamTokensTest();
    test.send("a", PLAIN, 7);
    assertEquals(test.available(both(0), PLAIN), List.of(true, true));
    test.send("a", PLAIN, 1);
    assertEquals(test.available(both(0), PLAIN), List.of(false, true));
    assertEquals(test.tokens.excludedCount(), 1);
    test.tokens.recordEnd("a", PLAIN);
    assertEquals(test.available(both(0), PLAIN), List.of(true, true));
  }

  @Test
  public void requestsOfOtherVmsCountByMean() {
    UpstreamTokensTest test = new UpstreamTokensTest();
    test.send("a", PLAIN, 2);
    assertEquals(test.available(both(6), PLAIN), List.of(false, true));
    assertEquals(test.available(both(6), TokenDemand.UNKNOWN), List.of(false, true));
  }

  @Test
  public void noneIsAvailableIfAllAreFull() {
    UpstreamTokensTest test = new UpstreamTokensTest();
    test.send("a", PLAIN, 8);
    test.send("b", PLAIN, 8);
    assertEquals(test.available(both(0), PLAIN), List.of(false, false));
  }

  /** Guards against refusals by a sound service whose requests share most of their tokens. */
  @Test
  public void sharedPrefixesCountOnceIfAllWouldBeExcludedOtherwise() {
    UpstreamTokensTest test = new UpstreamTokensTest();
    test.send("a", SHARING, 20);
    assertEquals(test.available(both(0), SHARING), List.of(false, true));
    test.send("b", SHARING, 20);
    assertEquals(test.available(both(0), SHARING), List.of(true, true));
  }

  @Test
  public void demandBeyondWholeMemoryFitsNowhere() {
    UpstreamTokensTest test = new UpstreamTokensTest();
    TokenDemand huge = new TokenDemand(MEMORY + 1, 0, 0);
    assertEquals(test.available(both(0), huge), List.of(false, false));
  }
}
