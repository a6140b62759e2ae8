/**
 * Exchanges heartbeats and updates between VMs, synchronizes their tables, and probes a VM through
 * other VMs before it is suspected.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as zod from "zod";
import type * as membershipCounters from "./membership_counters.ts";
import * as entries from "./member_entry.ts";
import type * as table from "./member_table.ts";
import * as messages from "./membership_messages.ts";
import type * as types from "./types.ts";

/** Timeout of a call. It covers a round trip to the other region. */
const CALL_TIMEOUT_MILLISECONDS = 700;

/** Timeout of a request to a third VM, including that VM's own call. */
const PROBE_TIMEOUT_MILLISECONDS = 1_000;

/** Number of third VMs that probe a VM before it is suspected. */
const HELPER_COUNT = 3;

/** Tables whose digests differ at this many heartbeats in a row are synchronized. */
const MISMATCHES_BEFORE_SYNC = 2;

const MAX_SYNC_ROUNDS = 12;

/** How far one neighbour has received this VM's updates. */
export interface NeighbourProgress {
  /** Position in the log after the last change that was sent. */
  logPosition: number;
  /** Heartbeats in a row at which the digests differed. */
  mismatches: number;
}

/** The parts of the membership that the exchange uses. */
export interface ExchangeOwner {
  readonly self: types.VmIdentity;
  readonly table: table.MemberTable;
  readonly counters: membershipCounters.MembershipCounters;
  readonly ownEntry: entries.MemberEntry;
  readonly isIsolated: boolean;
  merge(entry: entries.MemberEntry, isUpdate: boolean): void;
  recordRoundTrip(): void;
  mayBeLocalFault(startedMilliseconds: number): boolean;
  suspect(vm: model.VmId): void;
}

/** Sends and handles the messages of the membership. */
export class MembershipExchange {
  readonly #owner: ExchangeOwner;
  readonly #network: types.PeerNetwork;
  readonly #callerProgress = new Map<model.VmId, NeighbourProgress>();

  constructor(owner: ExchangeOwner, network: types.PeerNetwork) {
    this.#owner = owner;
    this.#network = network;
    network.handle(messages.EXCHANGE_CHANNEL, (message) => this.#onExchange(message));
    network.handle(messages.SYNC_CHANNEL, (message) => this.#onSync(message));
    network.handle(messages.PUSH_CHANNEL, (message) => this.#onPush(message));
    network.handle(messages.PROBE_CHANNEL, (message) => this.#onProbe(message));
    network.handle(messages.PING_CHANNEL, () => true);
  }

  /** Sends one heartbeat. Suspects the neighbour if it fails and other VMs confirm the failure. */
  async heartbeat(vm: model.VmId, progress: NeighbourProgress, signal: AbortSignal): Promise<void> {
    const startedAt = kernel.getMonotonicMilliseconds();
    if (await this.#exchange(vm, progress)) {
      return;
    }
    if (signal.aborted || this.#owner.mayBeLocalFault(startedAt)) {
      return;
    }
    const reachability = await this.#probeThroughHelpers(vm);
    if (signal.aborted || this.#owner.mayBeLocalFault(startedAt)) {
      return;
    }
    if (reachability.includes(true)) {
      this.#owner.counters.pathFailures.inc();
    } else if (reachability.includes(false)) {
      this.#owner.suspect(vm);
    } else {
      // No other VM responded, so this VM may be the one that is cut off.
      this.#owner.counters.voided.inc({ reason: "no_helper" });
    }
  }

  /** Tries to reach a VM that has no entry or is recorded as dead. */
  async contact(vm: model.VmId): Promise<void> {
    await this.#exchange(vm, {
      logPosition: this.#owner.table.logEnd,
      mismatches: MISMATCHES_BEFORE_SYNC,
    });
  }

  /** Sends entries without waiting for a response. */
  push(to: readonly model.VmId[], pushed: readonly entries.MemberEntry[]): void {
    for (const vm of to) {
      this.#network.send(vm, messages.PUSH_CHANNEL, { entries: pushed.map(entries.encodeEntry) });
    }
  }

  async #exchange(vm: model.VmId, progress: NeighbourProgress): Promise<boolean> {
    const { next, payload } = this.#createExchange(vm, progress);
    const called = await this.#network.call(
      vm,
      messages.EXCHANGE_CHANNEL,
      payload,
      CALL_TIMEOUT_MILLISECONDS,
    );
    const answer = called.isOk()
      ? this.#check(messages.exchangeAnswerSchema, called.value)
      : undefined;
    if (answer === undefined) {
      return false;
    }
    progress.logPosition = next;
    this.#owner.recordRoundTrip();
    this.#mergeAll([answer.entry, ...answer.news], true);
    const isEqual = answer.digest === this.#owner.table.digest;
    progress.mismatches = isEqual ? 0 : progress.mismatches + 1;
    if (progress.mismatches >= MISMATCHES_BEFORE_SYNC) {
      await this.#synchronize(vm);
      progress.mismatches = 0;
    }
    return true;
  }

  #createExchange(vm: model.VmId, progress: NeighbourProgress) {
    const { changes, next } = this.#owner.table.listChanges(
      progress.logPosition,
      messages.MAX_UPDATES,
    );
    const peerEntry = this.#owner.table.get(vm);
    // A VM that is recorded as suspect or dead must receive that entry to be able to refute it.
    const updates = peerEntry === undefined || peerEntry.health === "live"
      ? changes
      : [peerEntry, ...changes];
    const payload = {
      entry: entries.encodeEntry(this.#owner.ownEntry),
      digest: this.#owner.table.digest,
      news: updates.map(entries.encodeEntry),
    };
    return { next, payload };
  }

  async #synchronize(vm: model.VmId): Promise<void> {
    this.#owner.counters.synchronizations.inc();
    for (let round = 0; round < MAX_SYNC_ROUNDS; round++) {
      const called = await this.#network.call(
        vm,
        messages.SYNC_CHANNEL,
        { digests: this.#owner.table.listBucketDigests() },
        CALL_TIMEOUT_MILLISECONDS,
      );
      const answer = called.isOk()
        ? this.#check(messages.syncAnswerSchema, called.value)
        : undefined;
      if (answer === undefined) {
        return;
      }
      const own = this.#owner.table.listDiffering(answer.digests);
      this.#mergeAll(answer.entries, false);
      if (own.length > 0) {
        this.push([vm], own.slice(0, messages.MAX_SYNC_ENTRIES));
      }
      if (answer.isWhole && own.length <= messages.MAX_SYNC_ENTRIES) {
        return;
      }
    }
  }

  async #probeThroughHelpers(vm: model.VmId): Promise<(boolean | undefined)[]> {
    const helpers = this.#pickHelpers(vm);
    return await Promise.all(helpers.map(async (helper) => {
      const called = await this.#network.call(
        helper,
        messages.PROBE_CHANNEL,
        { vm },
        PROBE_TIMEOUT_MILLISECONDS,
      );
      if (called.isErr()) {
        return undefined;
      }
      this.#owner.recordRoundTrip();
      return this.#check(messages.probeAnswerSchema, called.value)?.isReached;
    }));
  }

  #pickHelpers(vm: model.VmId): model.VmId[] {
    const candidates = [...this.#owner.table.list()].filter((entry) =>
      entry.health === "live" && entry.vm !== vm && entry.vm !== this.#owner.self.vm
    );
    const picked: model.VmId[] = [];
    while (picked.length < HELPER_COUNT && candidates.length > 0) {
      const [entry] = candidates.splice(Math.floor(Math.random() * candidates.length), 1);
      picked.push(kernel.getDefined(entry, "There is a candidate.").vm);
    }
    return picked;
  }

  #onExchange(message: types.PeerMessage): unknown {
    const request = this.#check(messages.exchangeSchema, message.payload);
    const { from } = message;
    const isOwnEntry = request?.entry.vm === from.vm &&
      request.entry.incarnation === from.incarnation;
    if (request === undefined || !isOwnEntry) {
      throw new Error("malformed");
    }
    const known = this.#owner.table.get(from.vm);
    if (known !== undefined && known.incarnation > from.incarnation) {
      // The replaced process receives only the entry of its successor.
      this.#owner.counters.refused.inc({ reason: "stale_incarnation" });
      return this.#createAnswer([known]);
    }
    const progress = this.#getCallerProgress(from.vm);
    this.#mergeAll([request.entry, ...request.news], true);
    const { changes, next } = this.#owner.table.listChanges(
      progress.logPosition,
      messages.MAX_UPDATES,
    );
    progress.logPosition = next;
    const peerEntry = this.#owner.table.get(from.vm);
    const isSuspected = peerEntry !== undefined && peerEntry.health !== "live";
    return this.#createAnswer(isSuspected ? [peerEntry, ...changes] : changes);
  }

  #createAnswer(updates: readonly entries.MemberEntry[]): unknown {
    return {
      entry: entries.encodeEntry(this.#owner.ownEntry),
      digest: this.#owner.table.digest,
      news: updates.map(entries.encodeEntry),
    };
  }

  #getCallerProgress(vm: model.VmId): NeighbourProgress {
    let progress = this.#callerProgress.get(vm);
    if (progress === undefined) {
      progress = { logPosition: this.#owner.table.logEnd, mismatches: 0 };
      this.#callerProgress.set(vm, progress);
      this.#removeUnknownCallers();
    }
    return progress;
  }

  #removeUnknownCallers(): void {
    for (const vm of this.#callerProgress.keys()) {
      if (this.#callerProgress.size > 1 && this.#owner.table.get(vm) === undefined) {
        this.#callerProgress.delete(vm);
      }
    }
  }

  #onSync(message: types.PeerMessage): unknown {
    const request = this.#check(messages.syncSchema, message.payload);
    if (request === undefined || this.#isStale(message.from)) {
      throw new Error("refused");
    }
    const differing = this.#owner.table.listDiffering(request.digests);
    return {
      digests: this.#owner.table.listBucketDigests(),
      entries: differing.slice(0, messages.MAX_SYNC_ENTRIES).map(entries.encodeEntry),
      isWhole: differing.length <= messages.MAX_SYNC_ENTRIES,
    };
  }

  #onPush(message: types.PeerMessage): void {
    const request = this.#check(messages.pushSchema, message.payload);
    if (request !== undefined && !this.#isStale(message.from)) {
      // Only the sender's own entry is forwarded. The others come from a synchronization, and other
      // VMs synchronize too.
      for (const entry of request.entries) {
        this.#owner.merge(entry, entry.vm === message.from.vm);
      }
    }
  }

  async #onProbe(message: types.PeerMessage): Promise<unknown> {
    const request = this.#check(messages.probeSchema, message.payload);
    if (request === undefined || this.#isStale(message.from) || this.#owner.isIsolated) {
      throw new Error("refused");
    }
    const called = await this.#network.call(
      request.vm,
      messages.PING_CHANNEL,
      true,
      CALL_TIMEOUT_MILLISECONDS,
    );
    return { isReached: called.isOk() };
  }

  #mergeAll(merged: readonly entries.MemberEntry[], isUpdate: boolean): void {
    for (const entry of merged) {
      this.#owner.merge(entry, isUpdate);
    }
  }

  #isStale(from: types.VmIdentity): boolean {
    const known = this.#owner.table.get(from.vm);
    const isStale = known !== undefined && known.incarnation > from.incarnation;
    if (isStale) {
      this.#owner.counters.refused.inc({ reason: "stale_incarnation" });
    }
    return isStale;
  }

  #check<Schema extends zod.ZodType>(
    schema: Schema,
    payload: unknown,
  ): zod.output<Schema> | undefined {
    const checked = schema.safeParse(payload);
    if (!checked.success) {
      this.#owner.counters.refused.inc({ reason: "malformed" });
      return undefined;
    }
    return checked.data;
  }
}
