/**
 * What recent calls showed of one target, by time, source and route.
 */

import type * as model from "@hemlockwalk/model";
import type * as types from "./types.ts";

/** Lengths of the windows over which a target is judged: short for busy targets, long for quiet ones. */
export const WINDOWS_MILLISECONDS = [
  1_000,
  2_000,
  3_000,
  4_000,
  6_000,
  8_000,
  12_000,
  16_000,
  32_000,
  64_000,
] as const;

const SLICE_MILLISECONDS = 250;
const LONGEST_WINDOW_MILLISECONDS = 64_000;

/** Calls of one target that went badly are listed one by one, up to this number. */
const MAXIMUM_LISTED = 400;

/** Counts of calls of one kind of source. */
export interface CallCounts {
  calls: number;
  broken: number;
  failed: number;
  slow: number;
  shed: number;
}

/** Counts of a window in detail. */
export interface WindowDetails {
  readonly byDataCentre: Map<model.DataCentreId, CallCounts>;
  readonly byRoute: Map<types.ShortId, CallCounts>;
  /** VMs that saw a call of the kind in question go badly. */
  readonly sources: Set<model.VmId>;
}

/** One or several calls of one kind from one VM. */
export interface Observation {
  readonly vm: model.VmId;
  readonly dataCentre: model.DataCentreId;
  readonly route: types.ShortId;
  readonly kind: types.EvidenceKind;
  readonly count: number;
}

interface Cell extends CallCounts {
  readonly dataCentre: model.DataCentreId;
  readonly route: types.ShortId;
}

interface Slice extends CallCounts {
  readonly start: number;
  readonly cells: Map<string, Cell>;
}

interface BadCalls extends Observation {
  readonly at: number;
}

/** Creates counts of nothing. */
export function createCounts(): CallCounts {
  return { calls: 0, broken: 0, failed: 0, slow: 0, shed: 0 };
}

/** Adds counts to others. */
export function addCounts(sum: CallCounts, added: CallCounts): void {
  sum.calls += added.calls;
  sum.broken += added.broken;
  sum.failed += added.failed;
  sum.slow += added.slow;
  sum.shed += added.shed;
}

/** Recent calls of one target. */
export class EvidenceWindow {
  #slices: Slice[] = [];
  #bad: BadCalls[] = [];

  /** Adds calls that were reported now. */
  add(observation: Observation, nowMilliseconds: number): void {
    const slice = this.#getSlice(nowMilliseconds);
    const cell = getCell(slice, observation);
    count(slice, observation.kind, observation.count);
    count(cell, observation.kind, observation.count);
    if (isFault(observation.kind)) {
      this.#bad.push({ ...observation, at: slice.start });
    }
    if (this.#bad.length > MAXIMUM_LISTED) {
      this.#bad.splice(0, this.#bad.length - MAXIMUM_LISTED);
    }
  }

  /** Forgets everything, such as after the target's return. */
  clear(): void {
    this.#slices = [];
    this.#bad = [];
  }

  /** Counts for each window length, in the order of the lengths. */
  getTotals(nowMilliseconds: number): CallCounts[] {
    this.#expire(nowMilliseconds);
    const totals: CallCounts[] = [];
    const sum = createCounts();
    let index = this.#slices.length - 1;
    for (const window of WINDOWS_MILLISECONDS) {
      while (index >= 0 && (this.#slices[index]?.start ?? 0) > nowMilliseconds - window) {
        const slice = this.#slices[index];
        if (slice !== undefined) {
          addCounts(sum, slice);
        }
        index--;
      }
      totals.push({ ...sum });
    }
    return totals;
  }

  /** When the first call within a window went badly; undefined when none did. */
  getFirstBad(
    kind: types.FaultKind,
    windowMilliseconds: number,
    nowMilliseconds: number,
  ): number | undefined {
    const oldest = nowMilliseconds - windowMilliseconds;
    return this.#bad.find((bad) => bad.at > oldest && showsFault(bad.kind, kind))?.at;
  }

  /** Counts from a time on. */
  countSince(since: number): CallCounts {
    const sum = createCounts();
    for (let index = this.#slices.length - 1; index >= 0; index--) {
      const slice = this.#slices[index];
      if (slice === undefined || slice.start < since) {
        break;
      }
      addCounts(sum, slice);
    }
    return sum;
  }

  /**
   * Counts by source and route over one window, from the first bad call on. Calls before it went well
   * everywhere and would make each source that is slow to report look healthy.
   */
  getDetails(
    kind: types.FaultKind,
    windowMilliseconds: number,
    nowMilliseconds: number,
  ): WindowDetails {
    const oldest = nowMilliseconds - windowMilliseconds;
    const first = this.getFirstBad(kind, windowMilliseconds, nowMilliseconds) ?? nowMilliseconds;
    const since = Math.max(oldest, first - 1);
    const details: WindowDetails = {
      byDataCentre: new Map(),
      byRoute: new Map(),
      sources: new Set(),
    };
    for (const slice of this.#slices) {
      if (slice.start > since) {
        for (const cell of slice.cells.values()) {
          addCounts(getOrCreate(details.byDataCentre, cell.dataCentre), cell);
          addCounts(getOrCreate(details.byRoute, cell.route), cell);
        }
      }
    }
    for (const bad of this.#bad) {
      if (bad.at > since && showsFault(bad.kind, kind)) {
        details.sources.add(bad.vm);
      }
    }
    return details;
  }

  #getSlice(nowMilliseconds: number): Slice {
    const start = Math.floor(nowMilliseconds / SLICE_MILLISECONDS) * SLICE_MILLISECONDS;
    const last = this.#slices.at(-1);
    if (last !== undefined && last.start >= start) {
      return last;
    }
    const slice: Slice = { start, cells: new Map(), ...createCounts() };
    this.#slices.push(slice);
    this.#expire(nowMilliseconds);
    return slice;
  }

  #expire(nowMilliseconds: number): void {
    const oldest = nowMilliseconds - LONGEST_WINDOW_MILLISECONDS;
    while ((this.#slices[0]?.start ?? Infinity) <= oldest) {
      this.#slices.shift();
    }
    while ((this.#bad[0]?.at ?? Infinity) <= oldest) {
      this.#bad.shift();
    }
  }
}

/** Whether a call went badly, shed calls aside. */
export function isFault(kind: types.EvidenceKind): kind is types.FaultKind {
  return kind === "broken" || kind === "failed" || kind === "slow";
}

function showsFault(seen: types.EvidenceKind, judged: types.FaultKind): boolean {
  return seen === judged || (judged === "failed" && seen === "broken");
}

function getCell(slice: Slice, observation: Observation): Cell {
  const name = `${observation.dataCentre} ${observation.route}`;
  let cell = slice.cells.get(name);
  if (cell === undefined) {
    cell = {
      dataCentre: observation.dataCentre,
      route: observation.route,
      ...createCounts(),
    };
    slice.cells.set(name, cell);
  }
  return cell;
}

function count(counts: CallCounts, kind: types.EvidenceKind, added: number): void {
  counts.calls += added;
  switch (kind) {
    case "broken":
      counts.broken += added;
      counts.failed += added;
      return;
    case "failed":
      counts.failed += added;
      return;
    case "slow":
      counts.slow += added;
      return;
    case "shed":
      counts.shed += added;
      return;
    case "good":
      return;
  }
}

function getOrCreate<Name>(map: Map<Name, CallCounts>, name: Name): CallCounts {
  let counts = map.get(name);
  if (counts === undefined) {
    counts = createCounts();
    map.set(name, counts);
  }
  return counts;
}
