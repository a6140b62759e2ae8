/**
 * This VM's view of the fleet. It combines heartbeats with a bounded number of neighbours, updates
 * that the neighbours forward, and the platform's list of VMs.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as exchanges from "./membership_exchange.ts";
import type * as membershipCounters from "./membership_counters.ts";
import * as entries from "./member_entry.ts";
import * as table from "./member_table.ts";
import * as views from "./member_view.ts";
import * as neighbours from "./neighbours.ts";
import type * as types from "./types.ts";
import * as listings from "./vm_listing.ts";

const HEARTBEAT_MILLISECONDS = 1_000;

/** Random share of the heartbeat period. It keeps the VMs from sending their heartbeats at once. */
const HEARTBEAT_JITTER = 0.2;

/** Updates are sent before the next heartbeat is due, but no more often than this. */
const MIN_HEARTBEAT_GAP_MILLISECONDS = 200;

/** A suspect VM is declared dead if it does not refute the suspicion within this time. */
export const SUSPICION_TIMEOUT_MILLISECONDS = 3_000;

/** A VM that has received no response for this long is isolated and suspects no other VM. */
const ISOLATION_TIMEOUT_MILLISECONDS = 2_500;

/** How long the entry of a dead VM is kept, so that it overrides older entries about the VM. */
const TOMBSTONE_RETENTION_MILLISECONDS = 60_000;

const EXPIRY_CHECK_MILLISECONDS = 250;

/** Provides the time at which this process last resumed after a pause. */
export interface PauseSource {
  readonly lastResumeMilliseconds: number;
}

/** Settings of a membership. */
export interface GossipMembershipOptions {
  readonly network: types.PeerNetwork;
  /** Address of this VM's peer listener, as other VMs reach it. */
  readonly address: string;
  readonly seeds: readonly types.ListedVm[];
  readonly list?: types.VmListSource | undefined;
  readonly pauses: PauseSource;
  readonly counters: membershipCounters.MembershipCounters;
  readonly logger: kernel.ComponentLogger;
}

/** The task that sends heartbeats to one neighbour. */
interface NeighbourMonitor {
  readonly stopping: AbortController;
  readonly progress: exchanges.NeighbourProgress;
  /** Ends the wait for the next heartbeat. */
  wait: AbortController;
}

/** Membership by heartbeats, gossip and the platform's list. */
export class GossipMembership implements types.Membership, exchanges.ExchangeOwner {
  readonly self: types.VmIdentity;
  readonly table = new table.MemberTable();
  readonly listing: listings.VmListing;
  readonly counters: membershipCounters.MembershipCounters;
  readonly #options: GossipMembershipOptions;
  readonly #exchange: exchanges.MembershipExchange;
  readonly #listeners: (() => void)[] = [];
  readonly #monitors = new Map<model.VmId, NeighbourMonitor>();
  readonly #stopping = new AbortController();
  readonly #tasks = new Set<Promise<void>>();
  #view: readonly types.Member[] | undefined;
  #isRefreshDue = false;
  #isIsolated = false;
  #isSuperseded = false;
  #lastRoundTrip = Number.NEGATIVE_INFINITY;

  constructor(options: GossipMembershipOptions) {
    this.self = options.network.self;
    this.#options = options;
    this.counters = options.counters;
    this.listing = new listings.VmListing(options.seeds);
    this.#exchange = new exchanges.MembershipExchange(this, options.network);
    options.list?.onList((vms) => this.#applyList(vms));
    const { vm, incarnation, dataCentre } = this.self;
    this.table.merge({
      vm,
      incarnation,
      counter: 0,
      address: options.address,
      dataCentre,
      isLeaving: false,
      health: "live",
    }, false);
  }

  /** This VM's own entry. */
  get ownEntry(): entries.MemberEntry {
    return kernel.getDefined(this.table.get(this.self.vm), "The table holds this VM's own entry.");
  }

  /** Whether this VM has received no response for too long. */
  get isIsolated(): boolean {
    return this.#isIsolated;
  }

  /** The VMs that this VM sends heartbeats to. */
  get neighbours(): readonly model.VmId[] {
    return [...this.#monitors.keys()];
  }

  listMembers(): readonly types.Member[] {
    // An isolated VM is more likely to be at fault than all the others.
    const suspectedSelf = this.#isIsolated || this.#isSuperseded ? this.self.vm : undefined;
    this.#view ??= views.createView(this.table, this.listing, suspectedSelf);
    return this.#view;
  }

  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Address of the peer listener of a VM. */
  findAddress(vm: model.VmId): string | undefined {
    return this.table.get(vm)?.address ?? this.listing.find(vm)?.address;
  }

  /** Whether no later incarnation of a VM is known. */
  isLatest(vm: model.VmId, incarnation: model.Incarnation): boolean {
    const known = this.table.get(vm);
    return known === undefined || incarnation >= known.incarnation;
  }

  start(): void {
    this.#lastRoundTrip = kernel.getMonotonicMilliseconds();
    this.#runTask(this.#contactMissingVms());
    this.#runTask(this.#checkAges());
    this.#refresh();
  }

  /**
   * Announces to the fleet that this VM accepts no new work. The daemon calls it first in a planned
   * stop.
   */
  announceLeaving(): void {
    if (!this.ownEntry.isLeaving) {
      this.#updateOwnEntry({ isLeaving: true });
    }
  }

  drain(): void {
    this.announceLeaving();
  }

  async stop(): Promise<void> {
    if (!this.#isSuperseded) {
      this.#updateOwnEntry({ isLeaving: true, health: "dead" });
      this.#exchange.push([...this.#monitors.keys()], [this.ownEntry]);
    }
    this.#stopping.abort();
    for (const monitor of this.#monitors.values()) {
      stopMonitor(monitor);
    }
    await Promise.all(this.#tasks);
  }

  merge(entry: entries.MemberEntry, isUpdate: boolean): void {
    if (entry.vm === this.self.vm) {
      this.#handleOwnEntry(entry);
      return;
    }
    const before = this.table.get(entry.vm);
    if (!this.table.merge(entry, isUpdate)) {
      return;
    }
    if (entry.health === "dead") {
      this.listing.addFormerMember({ ...entry, state: "live" });
      const isReplaced = before !== undefined && before.incarnation !== entry.incarnation;
      this.counters.deaths.inc({ cause: isReplaced ? "replaced" : "told" });
    }
    this.#handleChange(isUpdate);
  }

  recordRoundTrip(): void {
    this.#lastRoundTrip = kernel.getMonotonicMilliseconds();
    if (this.#isIsolated) {
      this.#setIsolated(false);
    }
  }

  /** Whether a pause or isolation of this VM may explain a failure that began at the given time. */
  mayBeLocalFault(startedMilliseconds: number): boolean {
    if (this.#options.pauses.lastResumeMilliseconds >= startedMilliseconds) {
      this.counters.voided.inc({ reason: "paused" });
      return true;
    }
    if (this.#isIsolated || this.#isSuperseded) {
      this.counters.voided.inc({ reason: "isolated" });
      return true;
    }
    return false;
  }

  suspect(vm: model.VmId): void {
    const entry = this.table.get(vm);
    if (entry?.health !== "live" || this.#stopping.signal.aborted) {
      return;
    }
    this.counters.suspicions.inc();
    this.#options.logger.info("VM suspected: unreachable directly and through others.", { vm });
    this.merge({ ...entry, health: "suspect" }, true);
  }

  /** Sends heartbeats to one neighbour until its signal aborts. */
  async #runMonitor(vm: model.VmId, monitor: NeighbourMonitor): Promise<void> {
    const { signal } = monitor.stopping;
    while (!signal.aborted) {
      const position = this.table.logEnd;
      await this.#exchange.heartbeat(vm, monitor.progress, signal);
      await kernel.sleep(MIN_HEARTBEAT_GAP_MILLISECONDS, signal);
      if (this.table.logEnd === position) {
        const period = HEARTBEAT_MILLISECONDS *
          (1 - HEARTBEAT_JITTER / 2 + Math.random() * HEARTBEAT_JITTER);
        monitor.wait = new AbortController();
        await kernel.sleep(period - MIN_HEARTBEAT_GAP_MILLISECONDS, monitor.wait.signal);
      }
    }
  }

  /** Contacts known VMs that have no entry or are recorded as dead, one at a time. */
  async #contactMissingVms(): Promise<void> {
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const vm = this.listing.pickRandom((candidate) => this.#isUnknownOrDead(candidate));
      if (vm !== undefined && !this.#isSuperseded) {
        await this.#exchange.contact(vm);
      }
      const hasNoNeighbours = this.#monitors.size === 0;
      await kernel.sleep(
        hasNoNeighbours ? MIN_HEARTBEAT_GAP_MILLISECONDS : HEARTBEAT_MILLISECONDS,
        signal,
      );
    }
  }

  /**
   * Checks the entries at intervals: declares VMs dead that were suspect for too long, and removes
   * expired entries of dead VMs.
   */
  async #checkAges(): Promise<void> {
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const now = kernel.getMonotonicMilliseconds();
      const isTimedOut = this.#monitors.size > 0 &&
        now - this.#lastRoundTrip > ISOLATION_TIMEOUT_MILLISECONDS;
      if (isTimedOut && !this.#isIsolated) {
        this.#setIsolated(true);
      }
      for (const entry of [...this.table.list()]) {
        this.#checkAge(entry, now);
      }
      // Listed VMs without an entry leave the view after some time, without any other change.
      this.#view = undefined;
      await kernel.sleep(EXPIRY_CHECK_MILLISECONDS, signal);
    }
  }

  #checkAge(entry: entries.MemberEntry, now: number): void {
    const updatedAt = this.table.getUpdatedAt(entry.vm);
    if (entry.health === "dead" && now - updatedAt > TOMBSTONE_RETENTION_MILLISECONDS) {
      this.table.remove(entry.vm);
      return;
    }
    if (entry.health !== "suspect") {
      return;
    }
    // A pause or isolation of this VM is not held against the suspect VM.
    if (this.#isIsolated || this.#options.pauses.lastResumeMilliseconds >= updatedAt) {
      this.table.resetAge(entry.vm);
    } else if (now - updatedAt > SUSPICION_TIMEOUT_MILLISECONDS) {
      this.#declareDead(entry, "silent");
    }
  }

  #declareDead(entry: entries.MemberEntry, cause: "silent" | "unlisted"): void {
    this.counters.deaths.inc({ cause });
    this.#options.logger.info("VM declared dead.", { vm: entry.vm, cause });
    this.listing.addFormerMember({ ...entry, state: "live" });
    this.table.merge({ ...entry, health: "dead" }, true);
    this.#handleChange(true);
  }

  #applyList(vms: readonly types.ListedVm[]): void {
    for (const vm of this.listing.replace(vms)) {
      const entry = this.table.get(vm);
      // The list lags and may be wrong, so it only confirms that a VM is dead which this VM
      // suspects or, while isolated, cannot reach.
      const mayBeDead = entry?.health === "suspect" || this.#isIsolated;
      if (entry !== undefined && entry.health !== "dead" && mayBeDead && vm !== this.self.vm) {
        this.#declareDead(entry, "unlisted");
      }
    }
    this.#handleChange(false);
  }

  #isUnknownOrDead(vm: model.VmId): boolean {
    const entry = this.table.get(vm);
    return vm !== this.self.vm && (entry === undefined || entry.health === "dead");
  }

  /** Handles an entry about this VM itself: refutes a report that it is suspect or dead. */
  #handleOwnEntry(entry: entries.MemberEntry): void {
    const own = this.ownEntry;
    if (entry.incarnation > own.incarnation) {
      this.#markSuperseded();
    } else if (entry.incarnation === own.incarnation && entries.overrides(entry, own)) {
      this.counters.refutations.inc();
      this.#updateOwnEntry({ counter: entry.counter + 1 });
    }
  }

  #markSuperseded(): void {
    if (!this.#isSuperseded) {
      this.#isSuperseded = true;
      this.#options.logger.error(
        "Another process with a later incarnation uses this VM's identifier.",
      );
      this.#handleChange(false);
    }
  }

  #updateOwnEntry(changes: Partial<entries.MemberEntry>): void {
    const own = this.ownEntry;
    this.table.merge({ ...own, counter: own.counter + 1, ...changes }, true);
    this.#handleChange(true);
  }

  #setIsolated(isIsolated: boolean): void {
    this.#isIsolated = isIsolated;
    this.#options.logger.warn(
      isIsolated ? "No other VM responds; this VM is isolated." : "Other VMs respond again.",
    );
    this.#handleChange(false);
  }

  #handleChange(isUpdate: boolean): void {
    this.#view = undefined;
    if (isUpdate) {
      for (const monitor of this.#monitors.values()) {
        monitor.wait.abort();
      }
    }
    if (!this.#isRefreshDue) {
      this.#isRefreshDue = true;
      queueMicrotask(() => {
        this.#isRefreshDue = false;
        this.#refresh();
      });
    }
  }

  #refresh(): void {
    if (this.#stopping.signal.aborted) {
      return;
    }
    this.#updateMonitors();
    for (const listener of this.#listeners) {
      listener();
    }
  }

  #updateMonitors(): void {
    const members = [...this.table.list()].filter((entry) => entry.health !== "dead");
    const wanted = this.#isSuperseded ? [] : neighbours.pickNeighbours(this.self, members);
    for (const [vm, monitor] of this.#monitors) {
      if (!wanted.includes(vm)) {
        this.#monitors.delete(vm);
        stopMonitor(monitor);
      }
    }
    for (const vm of wanted) {
      if (!this.#monitors.has(vm)) {
        const monitor = {
          stopping: new AbortController(),
          wait: new AbortController(),
          progress: { logPosition: this.table.logEnd, mismatches: 0 },
        };
        this.#monitors.set(vm, monitor);
        this.#runTask(this.#runMonitor(vm, monitor));
      }
    }
  }

  #runTask(task: Promise<void>): void {
    const tracked = task.finally(() => this.#tasks.delete(tracked));
    this.#tasks.add(tracked);
  }
}

function stopMonitor(monitor: NeighbourMonitor): void {
  monitor.stopping.abort();
  monitor.wait.abort();
}
