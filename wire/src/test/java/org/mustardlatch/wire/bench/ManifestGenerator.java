package org.mustardlatch.wire.bench;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Generates manifests of a given number of engines. The other numbers are those of the largest
 * intended fleet: 2 regions, 7 zones, 480 workspaces and 6 models.
 */
final class ManifestGenerator {
  private static final int ZONES = 7;
  private static final int WORKSPACES = 480;
  private static final int MODELS = 6;

  private ManifestGenerator() {}

  /** Returns the manifest text; texts of two revisions differ in the weight of one workspace. */
  static String text(int engines, long revision) {
    StringBuilder s =
        new StringBuilder("[manifest]\nname = \"target\"\nobjective = \"waste-averse\"\n");
    s.append("\n[[region]]\nname = \"r0\"\nzones = [\"z0\", \"z1\", \"z2\", \"z3\"]\n");
    s.append("\n[[region]]\nname = \"r1\"\nzones = [\"z4\", \"z5\", \"z6\"]\n");
    s.append("\n[link]\ncross_region_bytes_per_second = 12_500_000\n");
    s.append("cross_region_budget_fraction = 0.5\n");
    for (int i = 0; i < WORKSPACES; i++) {
      String digest = Hashing.sha256().hashString("key" + i, StandardCharsets.UTF_8).toString();
      s.append("\n[[workspace]]\nname = \"workspace-").append(i).append("\"\n");
      s.append("api_keys_sha256 = [\"").append(digest).append("\"]\n");
      s.append("weight = ").append(i == 0 ? 1.0 + revision : 1.0);
      s.append("\nrequests_per_second = 13\nmax_concurrent = 300\n");
    }
    for (int i = 0; i < MODELS; i++) {
      s.append("\n[[model]]\nname = \"model-").append(i).append("\"\n");
      s.append("first_token_target_ms = 900\ntoken_gap_target_ms = 68\n");
      s.append("max_prompt_tokens = 32_768\nkv_bytes_per_token = 131_072\n");
    }
    for (int i = 0; i < engines; i++) {
      engine(s, i);
    }
    return s.toString();
  }

  private static void engine(StringBuilder s, int i) {
    int server = i / 8;
    s.append("\n[[upstream]]\nname = \"s").append(server).append("-a").append(i % 8).append("\"\n");
    s.append("kind = \"engine\"\nrole = \"mixed\"\nmodel = \"model-").append(i % MODELS);
    s.append("\"\nzone = \"z").append(server % ZONES).append("\"\nurl = \"http://10.");
    s.append(server / 250).append('.').append(server % 250).append(".1:").append(8000 + i % 8);
    s.append("\"\nslots = 20\nprefill_tokens_per_second = 8000\nmemory_pieces = 400\n");
  }
}
