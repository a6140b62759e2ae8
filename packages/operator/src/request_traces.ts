/**
 * Extracts the trace of one request from the logs of many VMs.
 *
 * The logs may be files of several VMs in any order. They may contain truncated lines, lines of
 * other programs, and prefixes added by a log collector. The clocks of VMs differ, so times are
 * compared only within one VM, and the lines of each VM stay in the order in which it wrote them.
 */

import * as kernel from "@hemlockwalk/kernel";
import * as zod from "zod";

/** Lines that the same VM logged this close to the end of a request are shown as its context. */
const CONTEXT_MILLISECONDS = 10_000;

/** Highest number of context lines that are shown; the latest ones are kept. */
const MAXIMUM_CONTEXT_LINES = 20;

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

/** Fields that every line has and that are not specific to a request. */
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

const TRACES_OMITTED_TEXT = kernel.LogMessages.tracesOmitted.text;

/** One line of a log. */
type LogLine = zod.infer<typeof lineSchema>;

type Step = zod.infer<typeof stepSchema>;

/** The valid lines of the logs. */
export interface LogExtract {
  readonly linesByVm: ReadonlyMap<string, readonly LogLine[]>;
  readonly lineCount: number;
  /** Lines that contain the start of a JSON object but cannot be parsed, such as truncated ones. */
  readonly malformedCount: number;
}

/** Reads the lines of any number of logs. */
export async function readLog(lines: AsyncIterable<string>): Promise<LogExtract> {
  const linesByVm = new Map<string, LogLine[]>();
  let lineCount = 0;
  let malformedCount = 0;
  for await (const text of lines) {
    lineCount++;
    const line = parseLine(text);
    if (line === "malformed") {
      malformedCount++;
    } else if (line !== undefined) {
      const vmLines = linesByVm.get(line.vm);
      if (vmLines === undefined) {
        linesByVm.set(line.vm, [line]);
      } else {
        vmLines.push(line);
      }
    }
  }
  return { linesByVm, lineCount, malformedCount };
}

/** Formats the traces of a request, one step per line; empty if no VM logged one. */
export function formatTraces(extract: LogExtract, request: string): string[] {
  const output: string[] = [];
  for (const [vm, lines] of extract.linesByVm) {
    for (const [index, line] of lines.entries()) {
      if (line.request === request && line.steps !== undefined) {
        output.push(...formatTrace(vm, lines, index));
      }
    }
  }
  return output;
}

/** Lists the possible reasons for a missing trace, one per line. */
export function explainMissingTrace(extract: LogExtract): string[] {
  const allLines = [...extract.linesByVm.values()].flat();
  const omittedCount = allLines
    .filter((line) => line.msg.endsWith(TRACES_OMITTED_TEXT))
    .reduce((sum, line) => sum + (line.count ?? 0), 0);
  return [
    `read: ${extract.lineCount} lines, ${extract.malformedCount} of them torn, ` +
    `of ${extract.linesByVm.size} VMs`,
    `stories that the VMs left out to bound the volume: ${omittedCount}`,
    "a VM that was killed wrote no stories of the requests that it was handling",
  ];
}

function parseLine(text: string): LogLine | "malformed" | undefined {
  const start = text.indexOf("{");
  if (start < 0) {
    return undefined;
  }
  let value: unknown;
  try {
    value = JSON.parse(text.slice(start));
  } catch {
    return "malformed";
  }
  const line = lineSchema.safeParse(value);
  return line.success ? line.data : undefined;
}

function formatTrace(vm: string, lines: readonly LogLine[], index: number): string[] {
  const line = lines[index];
  if (line === undefined) {
    return [];
  }
  const steps = parseSteps(line.steps);
  const targets = new Set(steps.map((step) => step["target"]));
  const endedAt = Date.parse(line.time);
  const arrivedAt = endedAt - (steps.at(-1)?.at ?? 0);
  const contextLines = lines
    .slice(0, index)
    .filter((other) => isRelated(other, targets, endedAt))
    .slice(-MAXIMUM_CONTEXT_LINES);
  return [
    `request ${line.request} at ${vm}, ended ${line.time}: ` +
    `${line.outcome}, status ${formatStatus(line.status)}`,
    ...(steps.length === 0 ? ["  no step was recorded"] : []),
    ...steps.map((step) => `  +${step.at} ms  ${step.step}${formatFields(step, STEP_FIELDS)}`),
    ...(contextLines.length === 0 ? [] : ["  before, on the same VM:"]),
    ...contextLines.map((other) =>
      `  ${formatOffset(Date.parse(other.time) - arrivedAt)}  ${other.msg}` +
      formatFields(other, COMMON_FIELDS)
    ),
  ];
}

const STEP_FIELDS = new Set(["at", "step"]);

/** Whether a line was logged close to the end of the request and is not about some other target. */
function isRelated(line: LogLine, targets: ReadonlySet<unknown>, endedAt: number): boolean {
  const isClose = Math.abs(endedAt - Date.parse(line.time)) <= CONTEXT_MILLISECONDS;
  const isTrace = line.request !== undefined || line.msg.endsWith(TRACES_OMITTED_TEXT);
  return isClose && !isTrace && (line.target === undefined || targets.has(line.target));
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
