/**
 * Replicates declarations, target changes and orders to evacuate data centres to all VMs, whichever VM
 * has read them from the store.
 */

import * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import type * as mesh from "@hemlockwalk/mesh";
import * as evacuationExchange from "./evacuation_exchange.ts";
import * as holds from "./removal_hold.ts";
import * as exchange from "./target_exchange.ts";

const EVACUATIONS_STATE = "evacuations";
const DECLARATIONS_STATE = "declarations";
const TARGETS_STATE = "targets";
const FACTS_STATE = "facts";

/**
 * Interval at which each VM repeats the orders in force in its reports. These also pass through VMs
 * of the version before, which do not forward a state that they do not know. With 300 VMs a new VM
 * hears of the orders 30 times a second.
 */
const REPEAT_MILLISECONDS = 10_000;

/** Shortest interval at which a VM tells others that an order which they report is withdrawn. */
const CORRECTION_MILLISECONDS = 1_000;

/** Applies updates from the store and from other VMs, and publishes the new ones to the fleet. */
export class Publisher {
  readonly #store: declarations.DeclarationStore;
  readonly #directory: declarations.TargetDirectory;
  readonly #evacuations: declarations.Evacuations;
  readonly #mesh: mesh.Mesh;
  readonly #logger: kernel.ComponentLogger;
  readonly #leavingCounter: kernel.Counter<"source">;
  readonly #rateCounter: kernel.Counter<"result" | "source">;
  /** Whether removals are held back at present. */
  readonly removalHold = new holds.RemovalHold();
  /** Whole lists of other VMs whose removals are held back. */
  readonly #heldLists: declarations.TargetList[] = [];
  /** Whole copies of other VMs whose withdrawals of orders are held back. */
  readonly #heldEvacuations: declarations.EvacuationList[] = [];
  #hasCurrentList = false;
  #isListCurrent: () => boolean = () => this.#hasCurrentList;
  #evacuationsReportedAt = Number.NEGATIVE_INFINITY;
  #hasUnreportedEvacuations = false;

  constructor(
    store: declarations.DeclarationStore,
    directory: declarations.TargetDirectory,
    evacuations: declarations.Evacuations,
    vmMesh: mesh.Mesh,
    logger: kernel.ComponentLogger,
    metrics: kernel.Metrics,
  ) {
    this.#store = store;
    this.#directory = directory;
    this.#evacuations = evacuations;
    this.#mesh = vmMesh;
    this.#logger = logger;
    this.#leavingCounter = metrics.createCounter(
      "hemlockwalk_targets_leaving_total",
      "Targets that said in a response that they leave, by the source of the news.",
      ["source"],
    );
    this.#rateCounter = metrics.createCounter(
      "hemlockwalk_target_rates_total",
      "Changes of the rates that targets state for all VMs, by result and source of the news.",
      ["result", "source"],
    );
    // The first state, so that its snapshot arrives before the declarations of the same VM.
    vmMesh.addReplicatedState(EVACUATIONS_STATE, {
      digest: {
        get: () => exchange.encodeMark(evacuations.mark),
        isBehind: (other) => {
          const mark = exchange.decodeMark(other);
          return mark !== undefined && evacuations.isBehind(mark);
        },
      },
      createSnapshot: () => evacuationExchange.encodeEvacuations(evacuations.createList()),
      receive: (payload) => this.#receiveEvacuations(payload),
    });
    vmMesh.addSection(EVACUATIONS_STATE, {
      collect: () => this.#collectEvacuations(),
      receive: (_from, payload) => {
        this.#receiveEvacuations(payload);
      },
    });
    vmMesh.addReplicatedState(DECLARATIONS_STATE, {
      digest: {
        get: () => store.current?.declarations.version ?? 0,
        isBehind: (other: number) => other > (store.current?.declarations.version ?? 0),
      },
      createSnapshot: () => store.current?.declarations,
      receive: (payload) =>
        this.#applyDeclarations(payload as declarations.Declarations | undefined, "peer"),
    });
    vmMesh.addReplicatedState(TARGETS_STATE, {
      digest: {
        get: () => exchange.encodeMark(directory.mark),
        isBehind: (other) => {
          const mark = exchange.decodeMark(other);
          // An earlier version of the program sends a number, which is not comparable.
          return mark === undefined ? other !== 0 : directory.isBehind(mark);
        },
      },
      createSnapshot: () =>
        exchange.encodeList({
          ...declarations.createWholeList(directory),
          isCurrent: this.#isListCurrent(),
        }),
      receive: (payload) => this.#applyList(exchange.decodeList(payload)),
    });
    vmMesh.addReplicatedState(FACTS_STATE, {
      digest: {
        get: () => directory.getFactsDigest(),
        isBehind: (other: number) => other !== 0 && other !== directory.getFactsDigest(),
      },
      createSnapshot: () => directory.listFacts(),
      receive: (payload) => this.#applyFacts(payload as declarations.TargetFact[], "peer"),
    });
  }

  get directory(): declarations.TargetDirectory {
    return this.#directory;
  }

  get evacuations(): declarations.Evacuations {
    return this.#evacuations;
  }

  /** Whether this VM has the orders to evacuate data centres, or knows of no VM that has them. */
  get hasCurrentEvacuations(): boolean {
    return this.#evacuations.mark.asOf !== undefined ||
      !this.#mesh.isAwaitingSnapshot(EVACUATIONS_STATE);
  }

  /**
   * Whether this VM has read the list of targets from the store, or has taken it from a VM whose list
   * was current. A VM that stood still may pass on targets that have been removed.
   */
  get hasCurrentList(): boolean {
    return this.#hasCurrentList;
  }

  /** Sets what decides whether this VM tells others that its list is current. */
  onListSent(isListCurrent: () => boolean): void {
    this.#isListCurrent = isListCurrent;
  }

  /** Whether this VM has no declarations yet. */
  get isEmpty(): boolean {
    return this.#store.current === undefined;
  }

  /** Publishes declarations that this VM has read from the store. */
  publishDeclarations(read: declarations.Declarations): void {
    if (this.#applyDeclarations(read, "store")) {
      this.#mesh.publish(DECLARATIONS_STATE, read);
    }
  }

  /**
   * Publishes target changes that this VM has read from the store.
   *
   * @param listAsOf Position of the whole read that the changes are from; undefined for others.
   * @param completeAsOf Position as of which the list is the store's with these changes; undefined
   * while removals are held back.
   */
  publishTargets(
    changes: readonly declarations.TargetChange[],
    listAsOf: declarations.StorePosition | undefined,
    completeAsOf: declarations.StorePosition | undefined,
  ): void {
    const applied = changes.filter((change) => this.#applyChange(change, listAsOf, "store"));
    if (completeAsOf !== undefined) {
      this.#directory.confirm(completeAsOf);
    }
    this.#hasCurrentList ||= listAsOf !== undefined;
    if (applied.length > 0) {
      const list = { mark: this.#directory.mark, isWhole: false, changes: applied };
      this.#mesh.publish(TARGETS_STATE, exchange.encodeList(list));
    }
  }

  /**
   * Publishes changes of the orders to evacuate that this VM has read from the store.
   *
   * @param listAsOf Position of the whole read that the changes are from; undefined for others.
   * @param completeAsOf Position as of which the orders are the store's with these changes;
   * undefined while withdrawals are held back.
   */
  publishEvacuations(
    changes: readonly declarations.EvacuationChange[],
    listAsOf: declarations.StorePosition | undefined,
    completeAsOf: declarations.StorePosition | undefined,
  ): void {
    const applied = changes.filter((change) => this.#applyEvacuation(change, listAsOf));
    if (completeAsOf !== undefined) {
      this.#evacuations.confirm(completeAsOf);
    }
    if (applied.length > 0) {
      const list = this.#evacuations.createList();
      this.#mesh.publish(EVACUATIONS_STATE, evacuationExchange.encodeEvacuations(list));
    }
  }

  /** Removes what the lists of other VMs lacked while removals were held back. */
  releaseRemovals(): void {
    if (!this.removalHold.isCertain) {
      this.#heldEvacuations.splice(0).forEach((list) => this.#applyWithdrawals(list));
      this.#heldLists.splice(0).forEach((list) => this.#applyRemovals(list));
    }
  }

  /**
   * Publishes that a target has said in a response that it leaves. No VM sends further requests to
   * this incarnation of the target.
   */
  publishLeaving(target: declarations.TargetEntry): void {
    this.#publishFact({ ...this.#createFact(target), isLeaving: true });
  }

  /**
   * Publishes the rate that a target has stated in a response, in requests per second, or that it
   * has stated none any more.
   */
  publishRate(target: declarations.TargetEntry, requestsPerSecond: number | undefined): void {
    const change = (this.#directory.findStatement(target)?.change ?? 0) + 1;
    this.#publishFact({ ...this.#createFact(target), rate: { requestsPerSecond, change } });
  }

  #createFact(target: declarations.TargetEntry): declarations.TargetFact {
    const era = this.#directory.getPosition(target.id)?.era ?? declarations.UNSTATED_ERA;
    return declarations.createFact(target, era, declarations.getAnnouncedState(target));
  }

  #publishFact(fact: declarations.TargetFact): void {
    if (this.#applyFacts([fact], "response")) {
      this.#mesh.publish(FACTS_STATE, [fact]);
    }
  }

  #applyDeclarations(read: declarations.Declarations | undefined, from: string): boolean {
    if (read === undefined || read === null || !this.#store.apply(read)) {
      return false;
    }
    this.#logger.write(kernel.LogMessages.declarationsApplied, { version: read.version, from });
    return true;
  }

  #collectEvacuations(): unknown {
    const now = kernel.getMonotonicMilliseconds();
    const isDue = this.#evacuations.listOrders().length > 0 &&
      now - this.#evacuationsReportedAt >= REPEAT_MILLISECONDS;
    if (!this.#hasUnreportedEvacuations && !isDue) {
      return undefined;
    }
    this.#hasUnreportedEvacuations = false;
    this.#evacuationsReportedAt = now;
    return evacuationExchange.encodeEvacuations(this.#evacuations.createList());
  }

  /** Applies the orders that another VM knows; returns whether any of them was new. */
  #receiveEvacuations(payload: unknown): boolean {
    const decoded = evacuationExchange.decodeEvacuations(payload);
    if (decoded.isErr()) {
      this.#logger.write(kernel.LogMessages.evacuationInvalid, {
        from: "peer",
        error: decoded.error,
      });
      return false;
    }
    const list = decoded.value;
    const before = new Map(
      this.#evacuations.listOrders().map(({ dataCentre, since }) => [dataCentre, since]),
    );
    const applied = this.#evacuations.mergeChanges(list);
    applied.forEach((change) =>
      this.#recordEvacuation(change, before.get(change.dataCentre), "peer")
    );
    if (!this.#evacuations.isSuperseded(list)) {
      this.#correctOutdated(list);
      return applied.length > 0;
    }
    const knownEra = this.#evacuations.mark.asOf?.era;
    const isFirstOfEra = this.#heldEvacuations.length === 0 && before.size > 0 &&
      knownEra !== undefined && list.mark.asOf !== undefined && list.mark.asOf.era > knownEra;
    if (isFirstOfEra) {
      // The other VM may have read a restored store that lacks an order.
      this.removalHold.begin(true);
    }
    if (this.removalHold.isCertain) {
      this.#heldEvacuations.push(list);
      return applied.length > 0;
    }
    return this.#applyWithdrawals(list) || applied.length > 0;
  }

  /**
   * Reports the own orders if another VM holds one that is withdrawn. Two VMs that were both cut off
   * may have told each other of it, and digests are compared only when a link opens.
   */
  #correctOutdated(list: declarations.EvacuationList): void {
    const isOutdated = list.changes.some(({ dataCentre, isEvacuated }) =>
      isEvacuated && !this.#evacuations.isEvacuated(dataCentre)
    );
    const sinceReport = kernel.getMonotonicMilliseconds() - this.#evacuationsReportedAt;
    if (isOutdated && sinceReport >= CORRECTION_MILLISECONDS) {
      this.#hasUnreportedEvacuations = true;
    }
  }

  #applyWithdrawals(list: declarations.EvacuationList): boolean {
    const before = new Map(
      this.#evacuations.listOrders().map(({ dataCentre, since }) => [dataCentre, since]),
    );
    const withdrawn = this.#evacuations.mergeWithdrawals(list);
    withdrawn.forEach((change) =>
      this.#recordEvacuation(change, before.get(change.dataCentre), "peer")
    );
    return withdrawn.length > 0;
  }

  #applyEvacuation(
    change: declarations.EvacuationChange,
    listAsOf: declarations.StorePosition | undefined,
  ): boolean {
    const since = this.#evacuations.listOrders()
      .find(({ dataCentre }) => dataCentre === change.dataCentre)?.since;
    const isApplied = this.#evacuations.apply(change, listAsOf);
    if (isApplied) {
      this.#recordEvacuation(change, since, "store");
    }
    return isApplied;
  }

  /** @param since Time since which the data centre was evacuated before; undefined if it was not. */
  #recordEvacuation(
    { dataCentre, position: { era, revision }, isEvacuated }: declarations.EvacuationChange,
    since: number | undefined,
    from: string,
  ): void {
    this.#hasUnreportedEvacuations = true;
    this.#mesh.reportSoon();
    const fields = { dataCentre, era, revision, from };
    if (isEvacuated && since === undefined) {
      this.#logger.write(kernel.LogMessages.evacuationOrdered, fields);
    } else if (!isEvacuated && since !== undefined) {
      const milliseconds = Math.round(kernel.getMonotonicMilliseconds() - since);
      this.#logger.write(kernel.LogMessages.evacuationWithdrawn, { ...fields, milliseconds });
    }
  }

  /** Applies a list of another VM; returns whether any of it was new. */
  #applyList(list: declarations.TargetList): boolean {
    this.#hasCurrentList ||= list.isWhole && list.isCurrent !== false;
    const hasApplied = declarations.mergeChanges(
      list,
      this.#directory,
      (change, listAsOf) => this.#applyChange(change, listAsOf, "peer"),
    );
    if (!declarations.supersedes(list, this.#directory)) {
      return hasApplied;
    }
    const knownEra = this.#directory.mark.asOf?.era;
    const isFirstOfEra = this.#heldLists.length === 0 && knownEra !== undefined &&
      list.mark?.asOf !== undefined && list.mark.asOf.era > knownEra;
    if (isFirstOfEra) {
      // The other VM may have read the restored store before targets had registered again.
      this.removalHold.begin(true);
    }
    if (this.removalHold.isCertain) {
      this.#heldLists.push(list);
      return hasApplied;
    }
    return this.#applyRemovals(list) || hasApplied;
  }

  #applyRemovals(list: declarations.TargetList): boolean {
    return declarations.mergeRemovals(
      list,
      this.#directory,
      (change, listAsOf) => this.#applyChange(change, listAsOf, "peer"),
    );
  }

  #applyChange(
    change: declarations.TargetChange,
    listAsOf: declarations.StorePosition | undefined,
    from: string,
  ): boolean {
    const previous = this.#directory.find(change.id);
    if (!this.#directory.apply(change, listAsOf)) {
      return false;
    }
    this.#logChange(change, previous, from);
    return true;
  }

  #logChange(
    change: declarations.TargetChange,
    previous: declarations.TargetEntry | undefined,
    from: string,
  ): void {
    const { id, position: { era, revision } } = change;
    const state = getState(this.#directory.find(id));
    const isChanged = state !== getState(previous) &&
      !(state === "ready" && previous === undefined);
    if (isChanged) {
      this.#logger.write(kernel.LogMessages.targetChanged, {
        target: id,
        state,
        era,
        revision,
        from,
      });
    } else {
      this.#logger.write(kernel.LogMessages.targetUpdated, { target: id, era, revision, from });
    }
  }

  #applyFacts(facts: readonly declarations.TargetFact[], from: string): boolean {
    const applied = facts.filter((fact) => this.#applyFact(fact, from));
    for (const fact of applied.filter(({ isLeaving }) => isLeaving)) {
      this.#logger.write(kernel.LogMessages.targetLeaving, {
        target: fact.id,
        startedAt: fact.startedAt,
        from,
      });
      this.#leavingCounter.inc({ source: from });
    }
    return applied.length > 0;
  }

  #applyFact(fact: declarations.TargetFact, from: string): boolean {
    const before = this.#directory.findRate(fact.id);
    const isNew = this.#directory.applyFact(fact);
    const requestsPerSecond = this.#directory.findRate(fact.id);
    if (requestsPerSecond !== before) {
      this.#logger.write(kernel.LogMessages.targetRateStated, {
        target: fact.id,
        startedAt: fact.startedAt,
        requestsPerSecond,
        from,
      });
      const result = requestsPerSecond === undefined ? "ended" : "stated";
      this.#rateCounter.inc({ result, source: from });
    }
    return isNew;
  }
}

function getState(entry: declarations.TargetEntry | undefined): string {
  if (entry === undefined) {
    return "gone";
  }
  return entry.isDraining ? "draining" : "ready";
}
