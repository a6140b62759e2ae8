/**
 * Scenario files: the load on a deployment and the events that occur while it is measured.
 */

import * as fs from "node:fs";
import * as path from "node:path";
import * as url from "node:url";
import * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import * as zod from "zod";

const indexSchema = zod.number().int().min(0);
const secondsSchema = zod.number().min(0).max(600);

const faultSchema = zod.discriminatedUnion("kind", [
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

/** The start and end of an event, relative to the end of the warm-up. */
const intervalFields = { fromSeconds: secondsSchema, untilSeconds: secondsSchema };

const eventSchema = zod.discriminatedUnion("kind", [
  zod.strictObject({
    kind: zod.literal("target_fault"),
    ...intervalFields,
    /** Position of the service in the deployment. */
    service: indexSchema,
    /** Position of the target in the service. */
    target: indexSchema,
    fault: faultSchema,
  }),
  /** The processes of a few VMs are suspended. */
  zod.strictObject({ kind: zod.literal("pause_vms"), ...intervalFields }),
  /** A few VMs are killed without a graceful stop. */
  zod.strictObject({ kind: zod.literal("kill_vms"), fromSeconds: secondsSchema }),
  /** VMs are stopped gracefully and replaced, one after another. */
  zod.strictObject({
    kind: zod.literal("replace_vms"),
    fromSeconds: secondsSchema,
    count: zod.number().int().min(1).max(20),
    everySeconds: zod.number().min(0.5).max(60),
  }),
  /** Messages from one data centre's VMs to another's are dropped, in this direction only. */
  zod.strictObject({
    kind: zod.literal("cut_data_centres"),
    ...intervalFields,
    from: indexSchema,
    to: indexSchema,
  }),
  zod.strictObject({ kind: zod.literal("platform_away"), ...intervalFields }),
  zod.strictObject({
    kind: zod.literal("withdraw_key"),
    fromSeconds: secondsSchema,
    workspace: indexSchema,
  }),
  /** The load of a workspace is multiplied by `factor`. */
  zod.strictObject({
    kind: zod.literal("surge"),
    ...intervalFields,
    workspace: indexSchema,
    factor: zod.number().min(0).max(20),
  }),
]);

const scenarioSchema = zod.strictObject({
  title: zod.string().min(1),
  warmUpSeconds: zod.number().min(1).max(120),
  durationSeconds: zod.number().min(1).max(300),
  /** Load of each workspace as a share of its rate. */
  load: zod.number().min(0).max(2),
  /** Share of requests that are not idempotent. */
  writes: zod.number().min(0).max(1),
  events: zod.array(eventSchema),
});

/** A validated scenario. */
export type Scenario = zod.output<typeof scenarioSchema>;

/** One event of a scenario. */
export type ScenarioEvent = Scenario["events"][number];

const SCENARIOS_FOLDER = url.fileURLToPath(new URL("../../scenarios/", import.meta.url));

/** Lists the names of the built-in scenarios. */
export function listScenarios(): string[] {
  const files = fs.readdirSync(SCENARIOS_FOLDER);
  return files.filter((file) => file.endsWith(".jsonc")).map((file) => file.slice(0, -6)).sort();
}

/** Returns the file of a built-in scenario, or the argument itself if it is a path. */
export function getScenarioFile(nameOrPath: string): string {
  return nameOrPath.endsWith(".jsonc")
    ? nameOrPath
    : path.join(SCENARIOS_FOLDER, `${nameOrPath}.jsonc`);
}

/** Reads and validates a scenario file. The errors are formatted findings. */
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
