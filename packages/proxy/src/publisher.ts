/**
 * Replicates declarations and target changes to all VMs, whichever VM has read them from the store.
 */

import * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import type * as mesh from "@hemlockwalk/mesh";
import * as holds from "./removal_hold.ts";
import * as exchange from "./target_exchange.ts";

const DECLARATIONS_STATE = "declarations";
const TARGETS_STATE = "targets";
const FACTS_STATE = "facts";

/** Applies updates from the store and from other VMs, and publishes the new ones to the fleet. */
export class Publisher {
  readonly #store: declarations.DeclarationStore;
  readonly #directory: declarations.TargetDirectory;
  readonly #mesh: mesh.Mesh;
  readonly #logger: kernel.ComponentLogger;
  readonly #leavingCounter: kernel.Counter<"source">;
  readonly #rateCounter: kernel.Counter<"result" | "source">;
  /** Whether removals are held back at present. */
  readonly removalHold = new holds.RemovalHold();
  /** Whole lists of other VMs whose removals are held back. */
  readonly #heldLists: declarations.TargetList[] = [];

  constructor(
    store: declarations.DeclarationStore,
    directory: declarations.TargetDirectory,
    vmMesh: mesh.Mesh,
    logger: kernel.ComponentLogger,
    metrics: kernel.Metrics,
  ) {
    this.#store = store;
    this.#directory = directory;
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
      createSnapshot: () => exchange.encodeList(declarations.createWholeList(directory)),
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
    if (applied.length > 0) {
      const list = { mark: this.#directory.mark, isWhole: false, changes: applied };
      this.#mesh.publish(TARGETS_STATE, exchange.encodeList(list));
    }
  }

  /** Removes what the lists of other VMs lacked while removals were held back. */
  releaseRemovals(): void {
    if (!this.removalHold.isCertain) {
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

  /** Applies a list of another VM; returns whether any of it was new. */
  #applyList(list: declarations.TargetList): boolean {
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
