/**
 * Measures the configuration at its full design size: heap usage, loading a baseline and applying
 * notes of 1,000 changes, with the longest stall of the event loop.
 *
 * Run after a build: `node --expose-gc packages/configuration/dist/bench/full_size.js`.
 */

import * as perfHooks from "node:perf_hooks";
import process from "node:process";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as counting from "../src/counters.ts";
import * as configuration from "../src/mod.ts";
import * as noteChain from "../src/note_chain.ts";

const WORKSPACES = 72_000;
const KEYS_PER_WORKSPACE = 2;
const SERVICES = 200;
const TARGETS = 10_000;
const ROUTES = 15_000;
const NOTE_CHANGES = 1_000;
const NOTES = 50;
const BETWEEN_NOTES_MILLISECONDS = 20;
const STALL_TARGET_MILLISECONDS = 5;

const MEGABYTE = 1_000_000;

function createKey(index: number): model.KeyDigest {
  return model.createKeyDigest(`key-${index}`);
}

/** Generates the lines of a baseline of the full size. */
function* writeLines(): Generator<string> {
  for (let index = 0; index < WORKSPACES; index++) {
    yield JSON.stringify(["workspaces", { id: `workspace-${index}`, rate: 20, burst: 40 }]);
  }
  for (let index = 0; index < WORKSPACES * KEYS_PER_WORKSPACE; index++) {
    const workspace = `workspace-${index % WORKSPACES}`;
    yield JSON.stringify(["keys", { digest: createKey(index), workspace }]);
  }
  for (let index = 0; index < SERVICES; index++) {
    yield JSON.stringify(["services", { id: `service-${index}`, slots: 6, connections: 330 }]);
  }
  for (let index = 0; index < TARGETS; index++) {
    yield JSON.stringify(["targets", {
      id: `target-${index}`,
      service: `service-${index % SERVICES}`,
      address: `10.${index >> 12}.${(index >> 4) & 255}.${index & 15}:8080`,
      dataCentre: `north-${index % 8}`,
    }]);
  }
  for (let index = 0; index < ROUTES; index++) {
    yield JSON.stringify(["routes", {
      id: `route-${index}`,
      host: `host-${index % 500}.example`,
      pathPrefix: `/area-${index % 30}/desk-${index}`,
      service: `service-${index % SERVICES}`,
      workspaces: [`workspace-${index % WORKSPACES}`],
    }]);
  }
}

/** Collects the lines into chunks that fit the platform's limit on the size of a value. */
function writeChunks(): string[] {
  const chunks: string[] = [];
  let lines: string[] = [];
  let bytes = 0;
  for (const line of writeLines()) {
    if (bytes + line.length + 1 > model.MAXIMUM_VALUE_BYTES) {
      chunks.push(`${lines.join("\n")}\n`);
      lines = [];
      bytes = 0;
    }
    lines.push(line);
    bytes += line.length + 1;
  }
  chunks.push(`${lines.join("\n")}\n`);
  return chunks;
}

interface Measurement<Result> {
  readonly result: Result;
  /** Start time on the monotonic clock. */
  readonly start: number;
  readonly milliseconds: number;
  readonly stallMilliseconds: number;
}

const collections: perfHooks.PerformanceEntry[] = [];
new perfHooks.PerformanceObserver((list) => collections.push(...list.getEntries()))
  .observe({ entryTypes: ["gc"] });

/** Runs a function and measures its duration and the longest stall of the event loop. */
async function measureLoop<Result>(
  body: () => Promise<Result>,
): Promise<Measurement<Result>> {
  let isOver = false;
  let longest = 0;
  const start = kernel.getMonotonicMilliseconds();
  let last = start;
  const tick = () => {
    const now = kernel.getMonotonicMilliseconds();
    longest = Math.max(longest, now - last);
    last = now;
    if (!isOver) {
      setImmediate(tick);
    }
  };
  setImmediate(tick);
  const result = await body();
  const milliseconds = kernel.getMonotonicMilliseconds() - start;
  await new Promise<void>((resolve) => setImmediate(resolve));
  isOver = true;
  return { result, start, milliseconds, stallMilliseconds: longest };
}

function getHeapBytes(): { heap: number; buffers: number } {
  global.gc?.();
  global.gc?.();
  const usage = process.memoryUsage();
  return { heap: usage.heapUsed, buffers: usage.arrayBuffers };
}

async function loadBaseline(chunks: string[]): Promise<configuration.TableSnapshot> {
  const builder = new configuration.BaselineBuilder();
  // Each chunk is released after it is parsed, as when chunks are read from the platform.
  for (let chunk = chunks.shift(); chunk !== undefined; chunk = chunks.shift()) {
    await configuration.runInSlices(builder.addChunkInSteps(chunk));
  }
  const entities = WORKSPACES * (1 + KEYS_PER_WORKSPACE) + SERVICES + TARGETS + ROUTES;
  const identity = {
    number: model.createNoteNumber(1),
    digest: model.createNoteDigest("baseline"),
    fleet: { vmLimit: 800, keyPlacement: { header: "hemlockwalk-key" }, regions: {} },
  };
  const loaded = await configuration.runInSlices(builder.finishInSteps(identity, entities));
  return loaded._unsafeUnwrap();
}

/** Creates a note that adds and withdraws keys, and changes workspaces, targets and routes. */
function writeNote(predecessor: noteChain.NoteIdentity, round: number): string {
  const count = NOTE_CHANGES / 5;
  const first = round * count;
  const list = <T>(create: (index: number) => T) =>
    Array.from({ length: count }, (_, offset) => create(first + offset));
  return JSON.stringify({
    format: 1,
    number: predecessor.number + 1,
    previous: predecessor.digest,
    added: {
      keys: list((index) => ({
        digest: model.createKeyDigest(`new-${index}`),
        workspace: `workspace-${index}`,
      })),
    },
    changed: {
      workspaces: list((index) => ({ id: `workspace-${index}`, rate: 30, burst: 40 })),
      targets: list((index) => ({
        id: `target-${index % TARGETS}`,
        service: `service-${index % SERVICES}`,
        address: `10.0.0.${index & 127}:8080`,
        dataCentre: "north-1",
        leaving: true,
      })),
      routes: list((index) => ({
        id: `route-${index}`,
        host: `host-${index % 500}.example`,
        pathPrefix: `/area-${index % 30}/desk-${index}`,
        service: `service-${(index + 1) % SERVICES}`,
      })),
    },
    withdrawn: { keys: list((index) => createKey(index)) },
  });
}

/** Whether a garbage collection overlapped the measured time. */
function overlapsCollection(note: Measurement<unknown>): boolean {
  return collections.some((entry) =>
    entry.startTime + entry.duration >= note.start &&
    entry.startTime <= note.start + note.milliseconds
  );
}

/** Loads a baseline once so that the code is compiled, and discards it. */
async function warmUp(): Promise<number> {
  return (await loadBaseline(writeChunks())).size;
}

/** Creates all notes in advance, so that creating them is not measured. */
function writeNotes(first: noteChain.NoteIdentity): string[] {
  const texts: string[] = [];
  let predecessor = first;
  for (let round = 0; round < NOTES; round++) {
    const text = writeNote(predecessor, round);
    texts.push(text);
    const number = model.createNoteNumber(predecessor.number + 1);
    predecessor = { number, digest: model.createNoteDigest(text) };
  }
  return texts;
}

async function main(): Promise<void> {
  const report = (name: string, value: string) => process.stdout.write(`${name}: ${value}\n`);
  report("entities", String(await warmUp()));
  const before = getHeapBytes();
  const chunks = writeChunks();
  const bytes = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
  report("baseline", `${(bytes / MEGABYTE).toFixed(1)} MB in ${chunks.length} chunks`);
  let loaded: configuration.TableSnapshot | undefined;
  const load = await measureLoop(async () => {
    loaded = await loadBaseline(chunks);
    // The snapshot can be taken only once: a kept one retains the values that later notes replace.
    return () => {
      const taken = kernel.getDefined(loaded, "The baseline is loaded.");
      loaded = undefined;
      return taken;
    };
  });
  const after = getHeapBytes();
  report(
    "baseline load",
    `${load.milliseconds.toFixed(0)} ms, longest stall ${load.stallMilliseconds.toFixed(2)} ms`,
  );
  report(
    "memory held by the configuration",
    `${((after.heap - before.heap) / MEGABYTE).toFixed(1)} MB heap and ` +
      `${((after.buffers - before.buffers) / MEGABYTE).toFixed(1)} MB buffers`,
  );

  const logger = new kernel.ComponentLogger(kernel.createSilentLogger(), "bench");
  const chain = new noteChain.NoteChain(logger, counting.createCounters(new kernel.Metrics()));
  await chain.offerBaseline(load.result(), "platform");
  const times: number[] = [];
  const stalls: number[] = [];
  const windows: Measurement<unknown>[] = [];
  const texts = writeNotes(kernel.getDefined(chain.snapshot, "A baseline is in force."));
  const noteBytes = texts.at(-1)?.length ?? 0;
  getHeapBytes();
  const notesStart = performance.now();
  for (const text of texts) {
    const number = chain.number + 1;
    const applied = await measureLoop(() => chain.offerNote(number, text, "platform"));
    kernel.assert(applied.result === "applied", "The note fits.");
    await kernel.sleep(BETWEEN_NOTES_MILLISECONDS);
    times.push(applied.milliseconds);
    stalls.push(applied.stallMilliseconds);
    windows.push(applied);
  }
  const sort = (values: number[]) => values.sort((left, right) => left - right);
  const format = (values: number[]) =>
    `median ${sort(values)[NOTES >> 1]?.toFixed(2)} ms, worst ${values.at(-1)?.toFixed(2)} ms`;
  report("note of 1,000 changes", `${(noteBytes / 1_000).toFixed(0)} KB, ${format(times)}`);
  const first = stalls[0]?.toFixed(2);
  report("longest stall for the first note, before the code is compiled", `${first} ms`);
  const above = windows.filter((note) => note.stallMilliseconds > STALL_TARGET_MILLISECONDS);
  const aboveAlone = above.filter((note) => !overlapsCollection(note));
  report(
    `notes with a stall above ${STALL_TARGET_MILLISECONDS} ms`,
    `${above.length} of ${NOTES}, ${aboveAlone.length} of them without a garbage collection`,
  );
  report("longest stall for each note", format(stalls));
  const pauses = collections.filter((entry) => entry.startTime >= notesStart)
    .map((entry) => entry.duration);
  report(
    "garbage collections while notes were applied",
    `${pauses.length}, longest ${Math.max(0, ...pauses).toFixed(2)} ms`,
  );
  const later = getHeapBytes();
  report(
    `memory held after ${NOTES} such notes`,
    `${((later.heap - before.heap) / MEGABYTE).toFixed(1)} MB heap and ` +
      `${((later.buffers - before.buffers) / MEGABYTE).toFixed(1)} MB buffers`,
  );

  const lookups = 1_000_000;
  const snapshot = kernel.getDefined(chain.snapshot, "Notes are in force.");
  const digests = Array.from({ length: 1_000 }, (_, index) => createKey(50_000 + index));
  const start = kernel.getMonotonicMilliseconds();
  for (let index = 0; index < lookups; index++) {
    kernel.assert(
      snapshot.findKey(digests[index % digests.length] ?? createKey(0)) !== undefined,
      "The key exists.",
    );
  }
  const nanoseconds = (kernel.getMonotonicMilliseconds() - start) * 1e6 / lookups;
  report("key lookup", `${nanoseconds.toFixed(0)} ns`);

  const chunkCount = configuration.getChunkCount(snapshot.size);
  const served = await measureLoop(async () => {
    let longest = 0;
    for (let index = 0; index < chunkCount; index++) {
      const steps = configuration.renderChunkInSteps(snapshot, index, chunkCount);
      longest = Math.max(longest, (await configuration.runInSlices(steps)).length);
    }
    return longest;
  });
  report(
    "baseline rendered for a peer",
    `${chunkCount} chunks of at most ${(served.result / 1_000).toFixed(0)} KB in ` +
      `${served.milliseconds.toFixed(0)} ms, longest stall ` +
      `${served.stallMilliseconds.toFixed(2)} ms`,
  );
}

await main();
