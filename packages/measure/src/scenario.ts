/**
 * Scenario files: what happens to a deployment while it is measured.
 */

import * as fs from "node:fs";
import * as path from "node:path";
import * as url from "node:url";
import * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import * as zod from "zod";

const index = zod.number().int().min(0);
const seconds = zod.number().min(0).max(600);

const fault = zod.discriminatedUnion("kind", [
  zod.strictObject({ kind: zod.literal("reset") }),
  zod.strictObject({ kind: zod.literal("hang") }),
  zod.strictObject({ kind: zod.literal("slow"), factor: zod.number().min(1).max(100) }),
  zod.strictObject({ kind: zod.literal("errors"), share: zod.number().min(0).max(1) }),
  zod.strictObject({ kind: zod.literal("truncate") }),
  zod.strictObject({
    kind: zod.literal("flapping"),
    periodMilliseconds: zod.number().min(100).max(60_000),
  }),
  zod.strictObject({ kind: zod.literal("silent_connections") }),
]);

/** Between two moments after the end of the warm-up. */
const during = { fromSeconds: seconds, untilSeconds: seconds };

const event = zod.discriminatedUnion("kind", [
  zod.strictObject({
    kind: zod.literal("target_fault"),
    ...during,
    /** Position of the service in the deployment. */
    service: index,
    /** Position of the target in the service. */
    target: index,
    fault,
  }),
  /** The processes of a few VMs do not run. */
  zod.strictObject({ kind: zod.literal("pause_vms"), ...during }),
  /** A few VMs end without notice. */
  zod.strictObject({ kind: zod.literal("kill_vms"), fromSeconds: seconds }),
  /** VMs are stopped gracefully and replaced, one after another. */
  zod.strictObject({
    kind: zod.literal("replace_vms"),
    fromSeconds: seconds,
    count: zod.number().int().min(1).max(20),
    everySeconds: zod.number().min(0.5).max(60),
  }),
  /** Messages from one data centre's VMs to another's are lost; the other way they pass. */
  zod.strictObject({
    kind: zod.literal("cut_data_centres"),
    ...during,
    from: index,
    to: index,
  }),
  zod.strictObject({ kind: zod.literal("platform_away"), ...during }),
  zod.strictObject({
    kind: zod.literal("withdraw_key"),
    fromSeconds: seconds,
    workspace: index,
  }),
  /** A workspace sends this many times its rate. */
  zod.strictObject({
    kind: zod.literal("surge"),
    ...during,
    workspace: index,
    factor: zod.number().min(0).max(20),
  }),
]);

const scenarioSchema = zod.strictObject({
  title: zod.string().min(1),
  warmUpSeconds: zod.number().min(1).max(120),
  durationSeconds: zod.number().min(1).max(300),
  /** Share of its rate that each workspace sends. */
  load: zod.number().min(0).max(2),
  /** Share of requests that are not idempotent. */
  writes: zod.number().min(0).max(1),
  events: zod.array(event),
});

/** A checked scenario. */
export type Scenario = zod.output<typeof scenarioSchema>;

/** One thing that happens in a scenario. */
export type ScenarioEvent = Scenario["events"][number];

const SCENARIOS_FOLDER = url.fileURLToPath(new URL("../../scenarios/", import.meta.url));

/** Names of the scenarios that come with the tool. */
export function listScenarios(): string[] {
  const files = fs.readdirSync(SCENARIOS_FOLDER);
  return files.filter((file) => file.endsWith(".jsonc")).map((file) => file.slice(0, -6)).sort();
}

/** The file of a scenario that comes with the tool, or the given path itself. */
export function getScenarioFile(nameOrPath: string): string {
  return nameOrPath.endsWith(".jsonc")
    ? nameOrPath
    : path.join(SCENARIOS_FOLDER, `${nameOrPath}.jsonc`);
}

/** Reads and checks a scenario file; the errors are formatted findings. */
export function readScenario(file: string): neverthrow.Result<Scenario, string[]> {
  let text: string;
  try {
    text = fs.readFileSync(file, "utf8");
  } catch (error) {
    return neverthrow.err([`${file} - ${(error as Error).message}`]);
  }
  return model.parseDocument(text, scenarioSchema).mapErr((diagnostics) =>
    diagnostics.map((diagnostic) => model.formatDiagnostic(file, diagnostic))
  );
}
