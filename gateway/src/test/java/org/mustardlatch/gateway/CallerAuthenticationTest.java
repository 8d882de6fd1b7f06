package org.mustardlatch.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.gateway.config.CallerLimits;
import org.mustardlatch.gateway.config.GatewayConfiguration;
import org.mustardlatch.gateway.config.GatewayRoute;
import org.mustardlatch.gateway.config.GatewayService;
import org.mustardlatch.gateway.config.GatewayWorkspace;
import org.mustardlatch.gateway.config.RequestKind;
import org.mustardlatch.gateway.config.ServiceWeight;

/** Guards against requests that are handled without a valid key, or refused with one. */
class CallerAuthenticationTest {
  private static final String KEY = "secret-Key-1";
  private static final GatewayWorkspace PLANNERS =
      new GatewayWorkspace("planners", List.of(KEY), 5, null);

  private static GatewayRoute route(boolean isPublic) {
    return new GatewayRoute(
        "route",
        "host",
        "/",
        RequestKind.IDEMPOTENT,
        Duration.ofSeconds(5),
        Duration.ofSeconds(1),
        Duration.ZERO,
        List.of(new ServiceWeight("app", 1)),
        2,
        false,
        GatewayRoute.DEFAULT_RANK,
        isPublic);
  }

  private static CallerAuthentication.Result check(
      List<GatewayWorkspace> workspaces,
      boolean isPublic,
      @Nullable String key,
      boolean storeReachable) {
    GatewayRoute route = route(isPublic);
    var configuration =
        new GatewayConfiguration(
            1,
            List.of(route),
            List.of(new GatewayService("app", null)),
            workspaces,
            CallerLimits.DEFAULT);
    return CallerAuthentication.check(configuration, route, key, storeReachable);
  }

  private static ErrorCode rejection(@Nullable String key, boolean storeReachable) {
    var result = check(List.of(PLANNERS), false, key, storeReachable);
    assertThat(result.toString()).doesNotContain(KEY);
    return ((CallerAuthentication.Result.Rejected) result).code();
  }

  @Test
  void knownKeyIsAcceptedForItsWorkspaceWithAndWithoutTheStore() {
    for (boolean reachable : List.of(true, false)) {
      var result = check(List.of(PLANNERS), false, KEY, reachable);
      assertThat(result)
          .isEqualTo(
              new CallerAuthentication.Result.Accepted(PLANNERS, new CallerIdentity("planners")));
      assertThat(result.toString()).doesNotContain(KEY);
    }
  }

  @Test
  void unknownAbsentAndOtherwiseSpelledKeysAreNotAuthenticated() {
    assertThat(rejection("other", true)).isEqualTo(ErrorCode.UNAUTHENTICATED);
    assertThat(rejection(KEY.toLowerCase(Locale.ROOT), true)).isEqualTo(ErrorCode.UNAUTHENTICATED);
    assertThat(rejection("", false)).isEqualTo(ErrorCode.UNAUTHENTICATED);
    assertThat(rejection(null, false)).isEqualTo(ErrorCode.UNAUTHENTICATED);
  }

  @Test
  void unknownKeyMayBeTriedAtAnotherNodeWhileTheStoreIsUnreachable() {
    assertThat(rejection("added-a-moment-ago", false)).isEqualTo(ErrorCode.NOT_READY);
  }

  @Test
  void publicRouteNeedsNoKeyAndTellsTheWorkspaceOfAValidOne() {
    assertThat(check(List.of(PLANNERS), true, "other", true))
        .isEqualTo(new CallerAuthentication.Result.Accepted(null, new CallerIdentity(null)));
    assertThat(check(List.of(PLANNERS), true, KEY, true))
        .isEqualTo(
            new CallerAuthentication.Result.Accepted(PLANNERS, new CallerIdentity("planners")));
  }

  @Test
  void configurationWithoutWorkspacesRequiresNoKeyAndSetsNoIdentity() {
    assertThat(check(List.of(), false, KEY, true))
        .isEqualTo(new CallerAuthentication.Result.Accepted(null, null));
  }
}
