/**
 * The story of one request out of the logs of many VMs.
 *
 * Logs are taken as they come: files of several VMs in any order, lines that are torn, lines of other
 * programs, lines behind a prefix of whatever collected them. The clocks of VMs differ, so times are
 * compared within one VM only, and its lines stay in the order in which it wrote them.
 */

import * as kernel from "@hemlockwalk/kernel";
import * as zod from "zod";

/** Lines of the same VM that lie this close to the end of a request may explain it. */
const SURROUNDINGS_MILLISECONDS = 10_000;

/** Most lines of the surroundings that are shown, the latest ones. */
const MOST_SURROUNDING_LINES = 20;

const stepSchema = zod.looseObject({ at: zod.number(), step: zod.string() });

const lineSchema = zod.looseObject({
  vm: zod.string(),
  time: zod.iso.datetime(),
  msg: zod.string(),
  part: zod.string().optional(),
  request: zod.string().optional(),
  outcome: zod.string().optional(),
  status: zod.number().optional(),
  steps: zod.string().optional(),
  target: zod.string().optional(),
  count: zod.number().optional(),
});

/** Fields that every line has and that say nothing about the request. */
const COMMON_FIELDS = new Set([
  "name",
  "vm",
  "hostname",
  "pid",
  "part",
  "level",
  "time",
  "msg",
  "v",
]);

const STORIES_LEFT_OUT = kernel.LogMessages.storiesLeftOut.text;

/** One line of a log. */
type LogLine = zod.infer<typeof lineSchema>;

type Step = zod.infer<typeof stepSchema>;

/** Lines of the logs, as far as they can be read. */
export interface LogExtract {
  readonly linesByVm: ReadonlyMap<string, readonly LogLine[]>;
  readonly lineCount: number;
  /** Lines that begin as an object does and cannot be read. */
  readonly tornCount: number;
}

/** Reads the lines of any number of logs. */
export async function readLog(lines: AsyncIterable<string>): Promise<LogExtract> {
  const linesByVm = new Map<string, LogLine[]>();
  let lineCount = 0;
  let tornCount = 0;
  for await (const text of lines) {
    lineCount++;
    const line = parseLine(text);
    if (line === "torn") {
      tornCount++;
    } else if (line !== undefined) {
      const known = linesByVm.get(line.vm);
      if (known === undefined) {
        linesByVm.set(line.vm, [line]);
      } else {
        known.push(line);
      }
    }
  }
  return { linesByVm, lineCount, tornCount };
}

/** The story of a request, a line for each step; empty when no VM wrote one. */
export function formatStories(extract: LogExtract, request: string): string[] {
  const output: string[] = [];
  for (const [vm, lines] of extract.linesByVm) {
    for (const [index, line] of lines.entries()) {
      if (line.request === request && line.steps !== undefined) {
        output.push(...formatStory(vm, lines, index));
      }
    }
  }
  return output;
}

/** Why there may be no story, one reason a line. */
export function explainMissing(extract: LogExtract): string[] {
  const stories = [...extract.linesByVm.values()].flat();
  const leftOut = stories
    .filter((line) => line.msg.endsWith(STORIES_LEFT_OUT))
    .reduce((sum, line) => sum + (line.count ?? 0), 0);
  return [
    `read: ${extract.lineCount} lines, ${extract.tornCount} of them torn, ` +
    `of ${extract.linesByVm.size} VMs`,
    `stories that the VMs left out to bound the volume: ${leftOut}`,
    "a VM that was killed wrote no story of the requests that it held",
  ];
}

function parseLine(text: string): LogLine | "torn" | undefined {
  const start = text.indexOf("{");
  if (start < 0) {
    return undefined;
  }
  let value: unknown;
  try {
    value = JSON.parse(text.slice(start));
  } catch {
    return "torn";
  }
  const line = lineSchema.safeParse(value);
  return line.success ? line.data : undefined;
}

function formatStory(vm: string, lines: readonly LogLine[], index: number): string[] {
  const line = lines[index];
  if (line === undefined) {
    return [];
  }
  const steps = parseSteps(line.steps);
  const targets = new Set(steps.map((step) => step["target"]));
  const endsAt = Date.parse(line.time);
  const arrivedAt = endsAt - (steps.at(-1)?.at ?? 0);
  const surroundings = lines
    .slice(0, index)
    .filter((other) => isRelated(other, targets, endsAt))
    .slice(-MOST_SURROUNDING_LINES);
  return [
    `request ${line.request} at ${vm}, ended ${line.time}: ` +
    `${line.outcome}, status ${formatStatus(line.status)}`,
    ...(steps.length === 0 ? ["  no step was recorded"] : []),
    ...steps.map((step) => `  +${step.at} ms  ${step.step}${formatFields(step, STEP_FIELDS)}`),
    ...(surroundings.length === 0 ? [] : ["  before, on the same VM:"]),
    ...surroundings.map((other) =>
      `  ${formatOffset(Date.parse(other.time) - arrivedAt)}  ${other.msg}` +
      formatFields(other, COMMON_FIELDS)
    ),
  ];
}

const STEP_FIELDS = new Set(["at", "step"]);

/** Lines about the request's targets, and those about the VM as a whole. */
function isRelated(line: LogLine, targets: ReadonlySet<unknown>, endsAt: number): boolean {
  const isClose = Math.abs(endsAt - Date.parse(line.time)) <= SURROUNDINGS_MILLISECONDS;
  const isStory = line.request !== undefined || line.msg.endsWith(STORIES_LEFT_OUT);
  return isClose && !isStory && (line.target === undefined || targets.has(line.target));
}

function parseSteps(text: string | undefined): Step[] {
  try {
    const steps = zod.array(stepSchema).safeParse(JSON.parse(text ?? "[]"));
    return steps.success ? steps.data : [];
  } catch {
    return [];
  }
}

function formatStatus(status: number | undefined): string {
  return status === undefined || status === 0 ? "none" : String(status);
}

function formatOffset(milliseconds: number): string {
  return milliseconds < 0 ? `${milliseconds} ms` : `+${milliseconds} ms`;
}

function formatFields(fields: Record<string, unknown>, omitted: ReadonlySet<string>): string {
  return Object.entries(fields)
    .filter(([name]) => !omitted.has(name))
    .map(([name, value]) => `  ${name}=${String(value)}`)
    .join("");
}
