/**
 * Counts of the recent calls to one target, by time, data centre and route.
 */

import type * as model from "@hemlockwalk/model";
import type * as types from "./types.ts";

/**
 * Lengths of the windows over which a target is evaluated. Short windows react fast on busy
 * targets; long windows collect enough calls on quiet ones.
 */
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

/** Maximum number of bad-call entries kept for one target. The oldest ones are dropped first. */
const MAXIMUM_BAD_ENTRIES = 400;

/** Numbers of calls by what they count as. `failed` includes `broken`. */
export interface CallCounts {
  calls: number;
  broken: number;
  failed: number;
  slow: number;
  shed: number;
}

/** Counts within one window, by data centre and route. */
export interface WindowDetails {
  readonly byDataCentre: Map<model.DataCentreId, CallCounts>;
  readonly byRoute: Map<types.ShortId, CallCounts>;
  /** VMs that reported a bad call of the evaluated kind. */
  readonly sources: Set<model.VmId>;
}

/** One or more calls of one kind from one VM. */
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

/** Creates counts that are all zero. */
export function createCounts(): CallCounts {
  return { calls: 0, broken: 0, failed: 0, slow: 0, shed: 0 };
}

/** Adds `added` to `sum`. */
export function addCounts(sum: CallCounts, added: CallCounts): void {
  sum.calls += added.calls;
  sum.broken += added.broken;
  sum.failed += added.failed;
  sum.slow += added.slow;
  sum.shed += added.shed;
}

function subtractCounts(sum: CallCounts, removed: CallCounts): void {
  sum.calls -= removed.calls;
  sum.broken -= removed.broken;
  sum.failed -= removed.failed;
  sum.slow -= removed.slow;
  sum.shed -= removed.shed;
}

/** Counts of the recent calls to one target. */
export class EvidenceWindow {
  #slices: Slice[] = [];
  #badCalls: BadCalls[] = [];

  /** Adds calls that have just been reported. */
  add(observation: Observation, nowMilliseconds: number): void {
    const slice = this.#getSlice(nowMilliseconds);
    const cell = getCell(slice, observation);
    count(slice, observation.kind, observation.count);
    count(cell, observation.kind, observation.count);
    if (isFault(observation.kind)) {
      this.#badCalls.push({ ...observation, at: slice.start });
    }
    if (this.#badCalls.length > MAXIMUM_BAD_ENTRIES) {
      this.#badCalls.splice(0, this.#badCalls.length - MAXIMUM_BAD_ENTRIES);
    }
  }

  /** Discards the calls from one data centre. */
  discardFrom(dataCentre: model.DataCentreId): void {
    this.#badCalls = this.#badCalls.filter((bad) => bad.dataCentre !== dataCentre);
    for (const slice of this.#slices) {
      for (const [name, cell] of slice.cells) {
        if (cell.dataCentre === dataCentre) {
          slice.cells.delete(name);
          subtractCounts(slice, cell);
        }
      }
    }
  }

  /** Counts for each window, in the order of `WINDOWS_MILLISECONDS`. */
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

  /** Time of the first bad call within a window; undefined if there is none. */
  getFirstBad(
    kind: types.FaultKind,
    windowMilliseconds: number,
    nowMilliseconds: number,
  ): number | undefined {
    const oldest = nowMilliseconds - windowMilliseconds;
    return this.#badCalls.find((bad) => bad.at > oldest && matchesKind(bad.kind, kind))?.at;
  }

  /** Counts of the calls since the given time. */
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
   * Counts by data centre and route over one window, starting at the first bad call. Earlier calls
   * were good everywhere. Counting them would make a data centre that reports late look healthy.
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
    for (const bad of this.#badCalls) {
      if (bad.at > since && matchesKind(bad.kind, kind)) {
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
    while ((this.#badCalls[0]?.at ?? Infinity) <= oldest) {
      this.#badCalls.shift();
    }
  }
}

/** Whether a call is bad: broken, failed or slow. A shed call is not. */
export function isFault(kind: types.EvidenceKind): kind is types.FaultKind {
  return kind === "broken" || kind === "failed" || kind === "slow";
}

function matchesKind(observed: types.EvidenceKind, evaluated: types.FaultKind): boolean {
  return observed === evaluated || (evaluated === "failed" && observed === "broken");
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
