/**
 * What the fleet knows of the targets: the outcomes of all VMs' calls and the load of all VMs.
 */

import type * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import type * as mesh from "@hemlockwalk/mesh";
import type * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import * as reach from "./reachability.ts";

/** A target whose address answers for another one is avoided for so long; its entry is old. */
const MISDIRECTED_MILLISECONDS = 700;

/** A target that sheds is taken as full for so long. */
const FULL_MILLISECONDS = 150;

/** News of others' calls are on their way for about so long. */
const NEWS_DELAY_MILLISECONDS = 80;

/** Outcomes that other VMs should hear of at once. */
const URGENT_OUTCOMES: ReadonlySet<placement.Outcome> = new Set(["error", "silent"]);

/** Every so often all loads are told, in case that a report was lost on a change of its path. */
const FULL_LOADS_INTERVAL_MILLISECONDS = 2_000;

/** Loads of one VM: all that are not zero, or just those that have changed. */
type LoadPayload = readonly [isFull: boolean, loads: Record<string, number>];

/** What is told of outcomes of one kind. */
interface OutcomeSummary {
  count: number;
  /** Monotonic time at which the latest of the calls began, in milliseconds. */
  startedAt: number;
}

/** A summary as it travels; times of one VM mean nothing to another. */
type OutcomeNews = readonly [
  outcome: placement.Outcome,
  count: number,
  startedAgoMilliseconds: number,
];

type OutcomeTable = Map<placement.Outcome, OutcomeSummary>;

interface TargetRecord {
  belief: placement.TargetBelief;
  ownLoad: number;
  readonly loadByVm: Map<model.VmId, number>;
  othersLoad: number;
  avoidedUntil: number;
  fullUntil: number;
}

/** Beliefs and loads by target. */
export class TargetKnowledge {
  readonly #directory: declarations.TargetDirectory;
  readonly #mesh: mesh.Mesh;
  readonly #logger: kernel.PartLogger;
  readonly #records = new Map<model.TargetId, TargetRecord>();
  #unreportedOutcomes = new Map<model.TargetId, OutcomeTable>();
  #fullLoadsAt = Number.NEGATIVE_INFINITY;
  readonly #unreportedLoads = new Set<model.TargetId>();
  readonly workTimes = new placement.WorkTimes();
  readonly reachability: reach.Reachability;

  constructor(
    directory: declarations.TargetDirectory,
    vmMesh: mesh.Mesh,
    logger: kernel.PartLogger,
  ) {
    this.#directory = directory;
    this.#mesh = vmMesh;
    this.#logger = logger;
    this.reachability = new reach.Reachability(
      (target) => directory.find(target)?.address,
      logger,
    );
    directory.onChange((change, previous) => this.#forgetOldLife(change, previous));
    vmMesh.addSection("outcomes", {
      collect: () => this.#collectOutcomes(),
      receive: (_from, payload) => this.#receiveOutcomes(payload),
    });
    vmMesh.addSection("loads", {
      collect: () => this.#collectLoads(),
      receive: (from, payload) => this.#receiveLoads(from.vm, payload),
    });
  }

  /** The candidates of a service, but for those already tried. */
  listCandidates(
    service: model.ServiceId,
    excluded: ReadonlySet<model.TargetId>,
  ): placement.Candidate[] {
    const now = kernel.getMonotonicMilliseconds();
    return this.#directory.listServing(service)
      .filter((entry) => !excluded.has(entry.id))
      .map((entry) => this.#createCandidate(entry, now));
  }

  findTarget(target: model.TargetId): declarations.TargetEntry | undefined {
    return this.#directory.find(target);
  }

  begin(target: model.TargetId): void {
    this.#getRecord(target).ownLoad++;
    this.#unreportedLoads.add(target);
  }

  end(target: model.TargetId): void {
    this.#getRecord(target).ownLoad--;
    this.#unreportedLoads.add(target);
  }

  /**
   * Takes the outcome of a call of this VM.
   *
   * @param startedAt Monotonic time at which the call began, in milliseconds.
   */
  observe(target: model.TargetId, outcome: placement.Outcome, startedAt: number): void {
    const record = this.#getRecord(target);
    const before = record.belief.sickness;
    record.belief.observe(outcome, startedAt);
    const table = this.#unreportedOutcomes.get(target) ?? new Map<never, never>();
    const known = table.get(outcome);
    table.set(outcome, {
      count: (known?.count ?? 0) + 1,
      startedAt: Math.max(known?.startedAt ?? startedAt, startedAt),
    });
    this.#unreportedOutcomes.set(target, table);
    if (URGENT_OUTCOMES.has(outcome)) {
      this.#mesh.hurry();
    }
    this.#logChange(target, before, record.belief.sickness, outcome);
  }

  /** Notes that a target has shed a request; returns whether its slots seemed to be taken. */
  noteShed(target: model.TargetId): boolean {
    const record = this.#getRecord(target);
    const slots = this.#directory.find(target)?.slots ?? 0;
    const isFull = record.ownLoad + record.othersLoad >= slots;
    if (isFull) {
      record.fullUntil = kernel.getMonotonicMilliseconds() + FULL_MILLISECONDS;
    }
    return isFull;
  }

  /** Notes that this VM could not reach a target, or reached another one at its address. */
  markUnreachable(target: model.TargetId, isCut: boolean): void {
    if (isCut) {
      this.reachability.noteUnreachable(target);
      return;
    }
    this.#getRecord(target).avoidedUntil = kernel.getMonotonicMilliseconds() +
      MISDIRECTED_MILLISECONDS;
  }

  /** Drops the loads of VMs that are gone. */
  dropGoneVms(): void {
    const present = new Set(this.#mesh.listOthers().map((member) => member.vm));
    for (const [target, record] of this.#records) {
      for (const [vm, load] of record.loadByVm) {
        if (!present.has(vm)) {
          record.loadByVm.delete(vm);
          record.othersLoad -= load;
        }
      }
      const isUnused = this.#directory.find(target) === undefined && record.ownLoad === 0 &&
        record.loadByVm.size === 0;
      if (isUnused) {
        this.#records.delete(target);
        this.workTimes.forgetTarget(target);
        this.reachability.forget(target);
      }
    }
  }

  #createCandidate(entry: declarations.TargetEntry, now: number): placement.Candidate {
    const record = this.#getRecord(entry.id);
    const isFull = record.fullUntil > now;
    const load = record.ownLoad + record.othersLoad;
    const knownFor = now - (this.#directory.getTakenAt(entry.id) ?? now);
    return {
      id: entry.id,
      slots: entry.slots,
      load: isFull ? Math.max(load, entry.slots) : load,
      sickness: record.belief.sickness,
      unobservedMilliseconds: now - record.belief.observedAt,
      evidenceAgeMilliseconds: now - record.belief.speaksOf,
      slowness: this.workTimes.getSlowness(entry.id),
      isUnreachable: record.avoidedUntil > now || !this.reachability.isReachable(entry.id),
      isRemote: entry.dataCentre !== this.#mesh.self.dataCentre,
      warmUpMilliseconds: Math.max(0, entry.warmUpMilliseconds - knownFor),
    };
  }

  #getRecord(target: model.TargetId): TargetRecord {
    let record = this.#records.get(target);
    if (record === undefined) {
      record = {
        belief: new placement.TargetBelief(),
        ownLoad: 0,
        loadByVm: new Map(),
        othersLoad: 0,
        avoidedUntil: 0,
        fullUntil: 0,
      };
      this.#records.set(target, record);
    }
    return record;
  }

  #forgetOldLife(
    change: declarations.TargetChange,
    previous: declarations.TargetEntry | undefined,
  ): void {
    const isSameLife = change.entry === undefined || previous === undefined ||
      (change.entry.startedAt === previous.startedAt && change.entry.address === previous.address);
    const record = this.#records.get(change.id);
    if (!isSameLife && record !== undefined) {
      record.belief = new placement.TargetBelief();
      record.avoidedUntil = 0;
      this.workTimes.forgetTarget(change.id);
      this.reachability.forget(change.id);
    }
  }

  #collectOutcomes(): unknown {
    if (this.#unreportedOutcomes.size === 0) {
      return undefined;
    }
    const now = kernel.getMonotonicMilliseconds();
    const news: Record<string, OutcomeNews[]> = {};
    for (const [target, table] of this.#unreportedOutcomes) {
      news[target] = [...table].map(([outcome, { count, startedAt }]) => [
        outcome,
        count,
        Math.round(now - startedAt),
      ]);
    }
    this.#unreportedOutcomes = new Map();
    return news;
  }

  #receiveOutcomes(payload: unknown): void {
    const now = kernel.getMonotonicMilliseconds() - NEWS_DELAY_MILLISECONDS;
    for (const [target, news] of Object.entries(payload as Record<string, OutcomeNews[]>)) {
      const record = this.#getRecord(target as model.TargetId);
      const before = record.belief.sickness;
      for (const [outcome, count, startedAgo] of news) {
        record.belief.observe(outcome, now - startedAgo, count);
      }
      this.#logChange(target, before, record.belief.sickness, "told");
    }
  }

  #collectLoads(): LoadPayload | undefined {
    const now = kernel.getMonotonicMilliseconds();
    if (this.#unreportedLoads.size === 0) {
      return undefined;
    }
    const isFull = now - this.#fullLoadsAt >= FULL_LOADS_INTERVAL_MILLISECONDS;
    const loads: Record<string, number> = {};
    if (isFull) {
      this.#fullLoadsAt = now;
      for (const [target, record] of this.#records) {
        if (record.ownLoad > 0) {
          loads[target] = record.ownLoad;
        }
      }
    } else {
      for (const target of this.#unreportedLoads) {
        loads[target] = this.#getRecord(target).ownLoad;
      }
    }
    this.#unreportedLoads.clear();
    return [isFull, loads];
  }

  #receiveLoads(vm: model.VmId, payload: unknown): void {
    const [isFull, loads] = payload as LoadPayload;
    if (isFull) {
      for (const record of this.#records.values()) {
        setLoad(record, vm, 0);
      }
    }
    for (const [target, load] of Object.entries(loads)) {
      setLoad(this.#getRecord(target as model.TargetId), vm, load);
    }
  }

  #logChange(target: string, before: number, after: number, cause: string): void {
    const wasDoubted = before > 0.5;
    const isDoubted = after > 0.5;
    if (wasDoubted !== isDoubted) {
      const { targetDoubted, targetTrusted } = kernel.LogMessages;
      this.#logger.write(isDoubted ? targetDoubted : targetTrusted, {
        target,
        sicknessBefore: Number(before.toFixed(3)),
        sickness: Number(after.toFixed(3)),
        cause,
      });
    }
  }
}

function setLoad(record: TargetRecord, vm: model.VmId, load: number): void {
  record.othersLoad += load - (record.loadByVm.get(vm) ?? 0);
  if (load === 0) {
    record.loadByVm.delete(vm);
  } else {
    record.loadByVm.set(vm, load);
  }
}
