/**
 * The current list of targets.
 *
 * Changes arrive from the store and from other VMs, in any order and more than once. For each
 * target, the change at the latest position of the store wins, so the list never reverts to an
 * older state. A removed target leaves a tombstone, so that an older change that arrives later does
 * not restore it. The tombstone is kept at least until the list is complete as of its position;
 * from then on, a change that is not later concerns a removed target.
 *
 * Facts about incarnations are kept apart from the changes: a new era of the store replaces the
 * changes, and what was known of the targets still binds.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as coverage from "./list_coverage.ts";
import * as positions from "./store_position.ts";
import * as facts from "./target_facts.ts";
import type * as types from "./types.ts";

/**
 * Time for which facts are kept, and tombstones at least; longer than the age of a backup from which
 * the store is restored.
 */
const RETENTION_MILLISECONDS = 60_000;

/** Called with each change that was applied. */
export type TargetChangeListener = (
  change: types.TargetChange,
  previous: types.TargetEntry | undefined,
) => void;

/** Called when a target is first known to leave, with its entry. */
export type TargetLeavingListener = (entry: types.TargetEntry) => void;

interface AppliedChange {
  readonly change: types.TargetChange;
  readonly appliedAt: number;
  /** Monotonic time at which the target is warm, in milliseconds. */
  readonly warmAt: number;
}

interface LearnedFact {
  readonly fact: facts.TargetFact;
  readonly learnedAt: number;
}

/** All targets known to one VM. */
export class TargetDirectory {
  readonly #appliedChanges = new Map<model.TargetId, AppliedChange>();
  readonly #facts = new Map<model.TargetId, LearnedFact>();
  readonly #coverage = new coverage.ListCoverage();
  readonly #changeListeners: TargetChangeListener[] = [];
  readonly #leavingListeners: TargetLeavingListener[] = [];
  #byService: Map<model.ServiceId, types.TargetEntry[]> | undefined;
  #factsDigest: number | undefined;

  get isEmpty(): boolean {
    return this.#appliedChanges.size === 0;
  }

  /** What this list covers, as it is told to other VMs. */
  get mark(): coverage.ListMark {
    return this.#coverage.mark;
  }

  /** Whether this list knows everything that happened up to a position. */
  covers(position: types.StorePosition): boolean {
    return this.#coverage.covers(position);
  }

  /**
   * Applies a change and returns `true`, unless the same or a later one of the target is known, the
   * target has been removed since, or the change is an earlier incarnation from a backup of the
   * store.
   *
   * @param listAsOf Position as of which the whole list is complete that contains the change;
   * undefined if it is not part of a whole list.
   */
  apply(change: types.TargetChange, listAsOf?: types.StorePosition): boolean {
    const known = this.#appliedChanges.get(change.id);
    if (known !== undefined && !positions.isLaterPosition(change.position, known.change.position)) {
      return false;
    }
    if (known?.change.entry === undefined && this.#isRemoved(change, listAsOf)) {
      return false;
    }
    if (isEarlierIncarnation(change, known?.change)) {
      return false;
    }
    this.#recordFacts(change, known?.change);
    const now = kernel.getMonotonicMilliseconds();
    this.#appliedChanges.set(change.id, {
      change,
      appliedAt: now,
      warmAt: getWarmAt(change, known, now),
    });
    this.#coverage.record(change, known?.change);
    this.#byService = undefined;
    for (const listener of this.#changeListeners) {
      listener(change, known?.change.entry);
    }
    return true;
  }

  /** Applies a fact and returns `true`, unless it adds nothing to what is known. */
  applyFact(fact: facts.TargetFact): boolean {
    const known = this.#facts.get(fact.id)?.fact;
    const merged = known === undefined ? fact : facts.mergeFacts(known, fact);
    if (merged === known) {
      return false;
    }
    this.#setFact(merged);
    const entry = this.#appliedChanges.get(fact.id)?.change.entry;
    const isNewlyLeaving = merged.isLeaving && known?.isLeaving !== true;
    if (entry !== undefined && isNewlyLeaving && (entry.startedAt ?? 0) === merged.startedAt) {
      for (const listener of this.#leavingListeners) {
        listener(entry);
      }
    }
    return true;
  }

  onChange(listener: TargetChangeListener): void {
    this.#changeListeners.push(listener);
  }

  onLeaving(listener: TargetLeavingListener): void {
    this.#leavingListeners.push(listener);
  }

  /** The latest entry of a target; undefined when it has ended or is unknown. */
  find(id: model.TargetId): types.TargetEntry | undefined {
    const change = this.#appliedChanges.get(id)?.change;
    return change === undefined ? undefined : this.#createEffectiveEntry(change);
  }

  /** What an incarnation of a target has stated of its rate; undefined if it never stated one. */
  findStatement(entry: types.TargetEntry): facts.StatedRate | undefined {
    const fact = this.#facts.get(entry.id)?.fact;
    return fact?.startedAt === (entry.startedAt ?? 0) ? fact.rate : undefined;
  }

  /**
   * Requests per second that a target accepts from all VMs together; undefined if it states no
   * limit or is unknown.
   */
  findRate(id: model.TargetId): number | undefined {
    const entry = this.#appliedChanges.get(id)?.change.entry;
    return entry === undefined ? undefined : this.findStatement(entry)?.requestsPerSecond;
  }

  /** Position of the latest change of a target; undefined if it is unknown. */
  getPosition(id: model.TargetId): types.StorePosition | undefined {
    return this.#appliedChanges.get(id)?.change.position;
  }

  /**
   * Time until a target is warm, in milliseconds; 0 if it is. It counts from the time at which this
   * VM learnt of the report, so that a late VM never takes a target for warm before it is.
   *
   * @param now Monotonic time of this VM, in milliseconds.
   */
  getWarmUpLeft(id: model.TargetId, now = kernel.getMonotonicMilliseconds()): number {
    const warmAt = this.#appliedChanges.get(id)?.warmAt ?? 0;
    return Math.max(0, warmAt - now);
  }

  /** Targets of a service that accept new requests. */
  listServing(service: model.ServiceId): readonly types.TargetEntry[] {
    this.#byService ??= this.#groupByService();
    return this.#byService.get(service) ?? [];
  }

  /** Targets of a service that have not ended and accept no new requests. */
  listLeaving(service: model.ServiceId): types.TargetEntry[] {
    return [...this.#appliedChanges.values()]
      .map(({ change }) => this.#createEffectiveEntry(change))
      .filter((entry) => entry !== undefined)
      .filter((entry) => entry.service === service && entry.isDraining);
  }

  /** Targets of all services that accept new requests. */
  listAllServing(): readonly types.TargetEntry[] {
    this.#byService ??= this.#groupByService();
    return [...this.#byService.values()].flat();
  }

  /** The latest change of every target, tombstones included. */
  listChanges(): types.TargetChange[] {
    return [...this.#appliedChanges.values()].map((applied) => applied.change);
  }

  listFacts(): facts.TargetFact[] {
    return [...this.#facts.values()].map((learned) => learned.fact);
  }

  /** The latest era of any change; undefined without changes. */
  getLatestEra(): types.StoreEra | undefined {
    return this.#coverage.mark.latest?.era;
  }

  /** Whether a copy with the given mark may hold something that this list lacks. */
  isBehind(other: coverage.ListMark): boolean {
    return this.#coverage.isBehind(other);
  }

  /** Records that this list is the store's as of a position; an earlier one changes nothing. */
  confirm(asOf: types.StorePosition): void {
    this.#coverage.confirm(asOf);
  }

  /** Records what another copy covers, if it is equal to this list. */
  confirmEqual(other: coverage.ListMark): void {
    this.#coverage.confirmEqual(other);
  }

  /** Digest that is equal on VMs that hold the same facts; 0 without facts. */
  getFactsDigest(): number {
    this.#factsDigest ??= createDigest(
      this.listFacts().map(({ id, startedAt, reportNumber, era, state, isLeaving, rate }) =>
        `${id} ${startedAt} ${reportNumber} ${era} ${state} ${isLeaving} ` +
        `${rate?.change} ${rate?.requestsPerSecond}`
      ),
    );
    return this.#factsDigest;
  }

  /** Removals of the entries that the store no longer holds, given those it holds at a position. */
  listMissing(
    present: ReadonlySet<model.TargetId>,
    asOf: types.StorePosition,
  ): types.TargetChange[] {
    return this.#listRemovals(
      asOf,
      ({ id, position }) =>
        position.era === asOf.era && !positions.isLaterPosition(position, asOf) && !present.has(id),
    );
  }

  /** Removals of the entries of earlier eras, which the store of a later era does not hold. */
  listOutdated(asOf: types.StorePosition): types.TargetChange[] {
    return this.#listRemovals(asOf, ({ position }) => position.era < asOf.era);
  }

  /** Discards tombstones that this list does without, and facts that no longer matter. */
  discardExpired(): void {
    const oldest = kernel.getMonotonicMilliseconds() - RETENTION_MILLISECONDS;
    for (const [id, applied] of this.#appliedChanges) {
      const { entry, position } = applied.change;
      if (entry === undefined && applied.appliedAt < oldest && this.covers(position)) {
        this.#appliedChanges.delete(id);
      }
    }
    for (const [id, { fact, learnedAt }] of this.#facts) {
      const entry = this.#appliedChanges.get(id)?.change.entry;
      const isInForce = fact.state !== "ended" && entry !== undefined &&
        (entry.startedAt ?? 0) === fact.startedAt;
      if (learnedAt < oldest && !isInForce) {
        this.#facts.delete(id);
        this.#factsDigest = undefined;
        this.#byService = undefined;
      }
    }
  }

  /**
   * Whether a target that this list does not hold has been removed since a change: the list is
   * complete as of a later position, and the change is not from a list that is as complete.
   */
  #isRemoved(change: types.TargetChange, listAsOf: types.StorePosition | undefined): boolean {
    const { asOf } = this.#coverage.mark;
    const isFromCurrentList = asOf !== undefined && listAsOf !== undefined &&
      !positions.isLaterPosition(asOf, listAsOf);
    return this.covers(change.position) && !isFromCurrentList;
  }

  /** Records what a change states about the incarnation that it concerns and the one before. */
  #recordFacts(change: types.TargetChange, known: types.TargetChange | undefined): void {
    const { entry, position } = change;
    const previous = known?.entry;
    if (entry === undefined) {
      if (previous !== undefined) {
        this.applyFact(facts.createFact(previous, position.era, "ended"));
      }
      return;
    }
    const fact = facts.createFact(entry, position.era, facts.getAnnouncedState(entry));
    const knownFact = this.#facts.get(change.id)?.fact;
    const isReplaced = known?.position.era === position.era && knownFact !== undefined &&
      knownFact.startedAt > fact.startedAt;
    if (isReplaced) {
      // The target has started again, and its clock was set back.
      this.#setFact(fact);
    } else if (
      knownFact !== undefined || fact.state !== "ready" ||
      (previous !== undefined && previous.startedAt !== entry.startedAt)
    ) {
      this.applyFact(fact);
    }
  }

  #setFact(fact: facts.TargetFact): void {
    this.#facts.set(fact.id, { fact, learnedAt: kernel.getMonotonicMilliseconds() });
    this.#factsDigest = undefined;
    this.#byService = undefined;
  }

  #listRemovals(
    asOf: types.StorePosition,
    isRemoved: (change: types.TargetChange) => boolean,
  ): types.TargetChange[] {
    return this.listChanges()
      .filter((change) => change.entry !== undefined && isRemoved(change))
      .map(({ id }) => ({ id, position: asOf, entry: undefined }));
  }

  /** The entry with the state that the facts give it; undefined once its incarnation has ended. */
  #createEffectiveEntry({ id, position, entry }: types.TargetChange) {
    if (entry === undefined) {
      return undefined;
    }
    const state = facts.getState(entry, position, this.#facts.get(id)?.fact);
    if (state === "ended") {
      return undefined;
    }
    const isDraining = state === "draining";
    return isDraining === entry.isDraining ? entry : { ...entry, isDraining };
  }

  #groupByService(): Map<model.ServiceId, types.TargetEntry[]> {
    const groups = new Map<model.ServiceId, types.TargetEntry[]>();
    for (const { change } of this.#appliedChanges.values()) {
      const entry = this.#createEffectiveEntry(change);
      if (entry === undefined || entry.isDraining) {
        continue;
      }
      const group = groups.get(entry.service);
      if (group === undefined) {
        groups.set(entry.service, [entry]);
      } else {
        group.push(entry);
      }
    }
    return groups;
  }
}

/**
 * Whether a change from a later era concerns an earlier incarnation than the known entry. The known
 * entry then stays in use until the target has reported again or its time is over.
 */
function isEarlierIncarnation(
  change: types.TargetChange,
  known: types.TargetChange | undefined,
): boolean {
  const startedAt = change.entry?.startedAt;
  const knownStart = known?.entry?.startedAt;
  return startedAt !== undefined && knownStart !== undefined && known !== undefined &&
    change.position.era > known.position.era && startedAt < knownStart;
}

/**
 * Monotonic time at which the target of a change is warm, in milliseconds. Within an era each change
 * states it anew. A change of a later era may be an earlier report, from a backup of the store.
 */
function getWarmAt(
  { position, entry }: types.TargetChange,
  known: AppliedChange | undefined,
  now: number,
): number {
  const announced = now + (entry?.warmUpMilliseconds ?? 0);
  const before = known?.change.entry;
  const isFromLaterEra = known !== undefined && position.era > known.change.position.era;
  if (!isFromLaterEra || before === undefined || entry?.startedAt !== before.startedAt) {
    return announced;
  }
  const isNumbered = entry?.startedAt !== undefined && entry.reportNumber !== undefined &&
    before.reportNumber !== undefined;
  if (!isNumbered) {
    return Math.max(announced, known.warmAt);
  }
  return Number(entry.reportNumber) > Number(before.reportNumber) ? announced : known.warmAt;
}

/** Hashes lines irrespective of their order, which differs between VMs. */
function createDigest(lines: readonly string[]): number {
  let digest = 0;
  for (const line of lines) {
    digest = (digest + kernel.spreadHash(kernel.hashText(line))) % 2 ** 32;
  }
  return lines.length === 0 ? 0 : Math.max(digest, 1);
}
