/**
 * `npm run fuzz -- --minutes N [--seed S] [--part NAME] [--rounds N] [--shrink]`: builds, then
 * runs the tests with random histories repeatedly with new seeds, one process for each round.
 */

import * as childProcess from "node:child_process";
import process from "node:process";
import * as util from "node:util";
import * as steps from "./steps.mjs";

/** The test of each part: its file, its name, and how many histories a round runs. */
const PARTS = {
  configuration: {
    file: "packages/configuration/dist/test/chain_model_test.js",
    test: "agrees with the list of published notes over random histories",
    runs: 25,
  },
  limits: {
    file: "packages/limits/dist/test/histories_test.js",
    test: "never admit more than rate and burst, whatever happens",
    runs: 40,
  },
  claims: {
    file: "packages/claims/dist/test/fleet_claim_store_test.js",
    test: "never grants a key twice and tells every repeat the truth",
    runs: 50,
  },
  targets: {
    file: "packages/targets/dist/test/fleet_test.js",
    test: "keeps the floor, leaving targets and slots under random histories",
    runs: 25,
  },
  directory: {
    file: "packages/declarations/dist/test/declarations_test.js",
    test: "the order and repetition of changes do not matter",
    runs: 500,
  },
  rates: {
    file: "packages/placement/dist/test/shared_bucket_test.js",
    test: "all VMs together keep to rate and burst within the tolerated excess",
    runs: 40,
  },
  overload: {
    file: "packages/placement/dist/test/rate_overload_test.js",
    test: "keeps to the bound and gets its rate over drawn faults",
    runs: 40,
  },
  answers: {
    file: "packages/proxy/dist/test/caller_answers_test.js",
    test: "a drawn response looks complete too early, is another's or is lost",
    runs: 20,
  },
  cold: {
    file: "packages/proxy/dist/test/cold_targets_test.js",
    test: "a cold target gets more in a second than it can handle",
    runs: 100,
  },
  relays: {
    file: "packages/mesh/dist/test/failover_test.js",
    test: "updates in quick succession come late in a drawn history of frozen VMs",
    runs: 3,
  },
};

const MILLISECONDS_IN_MINUTE = 60_000;

/** A round that takes longer counts as failed, since one of its histories does not end. */
const ROUND_LIMIT_MILLISECONDS = 5 * MILLISECONDS_IN_MINUTE;

const HIGHEST_SEED = 1_000_000_000;

const EXIT_FAILED = 1;
const EXIT_WRONG_USAGE = 2;

function endWithUsage(finding) {
  process.stderr.write(
    `${finding}\nnpm run fuzz -- --minutes N [--seed S] [--rounds N] [--shrink] ` +
      `[--part all|${Object.keys(PARTS).join("|")}]\n`,
  );
  process.exit(EXIT_WRONG_USAGE);
}

function readArguments() {
  try {
    return util.parseArgs({
      options: {
        minutes: { type: "string", default: "10" },
        seed: { type: "string", default: String(1 + Math.floor(Math.random() * HIGHEST_SEED)) },
        part: { type: "string", default: "all" },
        rounds: { type: "string", default: "Infinity" },
        shrink: { type: "boolean", default: false },
      },
    }).values;
  } catch (error) {
    return endWithUsage(error.message);
  }
}

function checkArguments(values) {
  const minutes = Number(values.minutes);
  const seed = Number(values.seed);
  const rounds = Number(values.rounds);
  const parts = values.part === "all" ? Object.keys(PARTS) : [values.part];
  if (!(minutes > 0 && Number.isFinite(minutes))) {
    endWithUsage("--minutes must be a number above 0.");
  }
  if (!(Number.isInteger(seed) && seed >= 0 && seed <= 2 * HIGHEST_SEED)) {
    endWithUsage(`--seed must be a whole number from 0 to ${2 * HIGHEST_SEED}.`);
  }
  if (!(rounds >= 1)) {
    endWithUsage("--rounds must be at least 1.");
  }
  if (!Object.hasOwn(PARTS, parts[0])) {
    endWithUsage(`--part ${parts[0]} is unknown.`);
  }
  return { minutes, seed, rounds, parts, shrink: values.shrink };
}

/** Runs one round. The outcome is "passed", "failed", or "unfinished" if the time ran out. */
function runRound(part, seed, shrink, timeoutMilliseconds) {
  const { file, test, runs } = PARTS[part];
  const pattern = `^${test}$`;
  const result = childProcess.spawnSync(
    process.execPath,
    [
      "--test-reporter=tap",
      "--test-reporter-destination=stdout",
      // Only the spec reporter shows why a history failed.
      "--test-reporter=spec",
      "--test-reporter-destination=stderr",
      `--test-name-pattern=${pattern}`,
      file,
    ],
    {
      cwd: steps.root,
      encoding: "utf8",
      timeout: timeoutMilliseconds,
      killSignal: "SIGKILL",
      maxBuffer: 2 ** 28,
      env: {
        ...process.env,
        HEMLOCKWALK_SEED: String(seed),
        HEMLOCKWALK_RUNS: String(runs),
        ...(shrink ? { HEMLOCKWALK_SHRINK: "1" } : {}),
      },
    },
  );
  if (result.error?.code === "ETIMEDOUT") {
    return { outcome: "unfinished", output: result.stderr };
  }
  // The runner also succeeds if no test matches, for example after a rename; that is not a pass.
  const passed = result.status === 0 &&
    new RegExp(`^ *ok \\d+ - ${test}$`, "m").test(result.stdout);
  return { outcome: passed ? "passed" : "failed", output: result.stderr };
}

function reportFailure(part, seed, finding, output) {
  process.stdout.write(
    `${output}\n${part}, seed ${seed}: ${finding}\n` +
      `Reproduce it with: npm run fuzz -- --part ${part} --seed ${seed} --rounds 1 ` +
      `--minutes 30 --shrink\n`,
  );
}

function reportSummary(histories, failures) {
  const counts = [...histories].map(([part, count]) => `${part} ${count}`).join(", ");
  process.stdout.write(`Histories run without a failure: ${counts}\n`);
  for (const failure of failures) {
    process.stdout.write(`Failed: ${failure}\n`);
  }
  process.exitCode = failures.length === 0 ? 0 : EXIT_FAILED;
}

function fuzz({ minutes, seed, rounds, parts, shrink }) {
  const end = performance.now() + minutes * MILLISECONDS_IN_MINUTE;
  const limit = shrink ? Number.POSITIVE_INFINITY : ROUND_LIMIT_MILLISECONDS;
  const histories = new Map(parts.map((part) => [part, 0]));
  const failures = [];
  for (let round = 0; round < rounds && performance.now() < end; round++) {
    const part = parts[round % parts.length];
    const roundSeed = seed + Math.floor(round / parts.length);
    if (!histories.has(part)) {
      continue;
    }
    process.stdout.write(`${part}, seed ${roundSeed}\n`);
    const rest = Math.max(1, Math.ceil(end - performance.now()));
    const { outcome, output } = runRound(part, roundSeed, shrink, Math.min(limit, rest));
    if (outcome === "passed") {
      histories.set(part, histories.get(part) + PARTS[part].runs);
      continue;
    }
    if (outcome === "unfinished" && rest < limit) {
      process.stdout.write(`${part}, seed ${roundSeed}: not finished when the time ran out\n`);
      break;
    }
    const finding = outcome === "failed" ? "failed" : `did not end within ${limit} ms`;
    reportFailure(part, roundSeed, finding, output);
    failures.push(`${part}, seed ${roundSeed}, after ${histories.get(part)} histories`);
    // The other parts continue; this one would only fail again for the same cause.
    histories.delete(part);
    if (histories.size === 0) {
      break;
    }
  }
  reportSummary(histories, failures);
}

const checked = checkArguments(readArguments());
steps.installIfMissing();
steps.runTool("tsc", ["-b"]);
fuzz(checked);
