/**
 * Heartbeats, news and comparisons of views between VMs, and the probes through third VMs that stand
 * before every suspicion.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as zod from "zod";
import type * as membershipCounters from "./membership_counters.ts";
import * as entries from "./member_entry.ts";
import type * as table from "./member_table.ts";
import * as messages from "./membership_messages.ts";
import type * as types from "./types.ts";

/** An answer must come within this time, which covers the way to the other region and back. */
const CALL_TIMEOUT_MILLISECONDS = 700;

/** The answer of a third VM must come within this time, its own probe included. */
const PROBE_TIMEOUT_MILLISECONDS = 1_000;

/** Third VMs that are asked before a VM is suspected. */
const HELPERS = 3;

/** Views that differ at so many heartbeats in a row are compared. */
const MISMATCHES_BEFORE_SYNC = 2;

const MAX_SYNC_ROUNDS = 12;

/** How far one neighbour has been told of changes. */
export interface Progress {
  told: number;
  mismatches: number;
}

/** What the exchange needs of its membership. */
export interface ExchangeOwner {
  readonly self: types.VmIdentity;
  readonly table: table.MemberTable;
  readonly counters: membershipCounters.MembershipCounters;
  readonly ownEntry: entries.MemberEntry;
  readonly isIsolated: boolean;
  merge(entry: entries.MemberEntry, isNews: boolean): void;
  noteRoundTrip(): void;
  isVoid(startedMilliseconds: number): boolean;
  suspect(vm: model.VmId): void;
}

/** Sends and answers the messages of the membership. */
export class MembershipExchange {
  readonly #owner: ExchangeOwner;
  readonly #network: types.PeerNetwork;
  readonly #callers = new Map<model.VmId, Progress>();

  constructor(owner: ExchangeOwner, network: types.PeerNetwork) {
    this.#owner = owner;
    this.#network = network;
    network.handle(messages.EXCHANGE_CHANNEL, (message) => this.#onExchange(message));
    network.handle(messages.SYNC_CHANNEL, (message) => this.#onSync(message));
    network.handle(messages.PUSH_CHANNEL, (message) => this.#onPush(message));
    network.handle(messages.PROBE_CHANNEL, (message) => this.#onProbe(message));
    network.handle(messages.PING_CHANNEL, () => true);
  }

  /** Sends one heartbeat and judges the neighbour by it. */
  async heartbeat(vm: model.VmId, progress: Progress, signal: AbortSignal): Promise<void> {
    const started = kernel.getMonotonicMilliseconds();
    if (await this.#exchange(vm, progress)) {
      return;
    }
    if (signal.aborted || this.#owner.isVoid(started)) {
      return;
    }
    const verdicts = await this.#askHelpers(vm);
    if (signal.aborted || this.#owner.isVoid(started)) {
      return;
    }
    if (verdicts.includes(true)) {
      this.#owner.counters.pathFailures.inc();
    } else if (verdicts.includes(false)) {
      this.#owner.suspect(vm);
    } else {
      // Nobody answered, so this VM may be the one that is cut off.
      this.#owner.counters.voided.inc({ reason: "no_helper" });
    }
  }

  /** Tries a VM that is out of touch. */
  async contact(vm: model.VmId): Promise<void> {
    await this.#exchange(vm, {
      told: this.#owner.table.logEnd,
      mismatches: MISMATCHES_BEFORE_SYNC,
    });
  }

  /** Sends entries without waiting. */
  push(to: readonly model.VmId[], pushed: readonly entries.MemberEntry[]): void {
    for (const vm of to) {
      this.#network.send(vm, messages.PUSH_CHANNEL, { entries: pushed.map(entries.encodeEntry) });
    }
  }

  async #exchange(vm: model.VmId, progress: Progress): Promise<boolean> {
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
    progress.told = next;
    this.#owner.noteRoundTrip();
    this.#mergeAll([answer.entry, ...answer.news], true);
    const isEqual = answer.digest === this.#owner.table.digest;
    progress.mismatches = isEqual ? 0 : progress.mismatches + 1;
    if (progress.mismatches >= MISMATCHES_BEFORE_SYNC) {
      await this.#synchronize(vm);
      progress.mismatches = 0;
    }
    return true;
  }

  #createExchange(vm: model.VmId, progress: Progress) {
    const { news, next } = this.#owner.table.listNews(progress.told, messages.MAX_NEWS);
    const about = this.#owner.table.get(vm);
    // A VM that is believed suspect or dead must learn it, to override the belief.
    const told = about === undefined || about.health === "live" ? news : [about, ...news];
    const payload = {
      entry: entries.encodeEntry(this.#owner.ownEntry),
      digest: this.#owner.table.digest,
      news: told.map(entries.encodeEntry),
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

  async #askHelpers(vm: model.VmId): Promise<(boolean | undefined)[]> {
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
      this.#owner.noteRoundTrip();
      return this.#check(messages.probeAnswerSchema, called.value)?.isReached;
    }));
  }

  #pickHelpers(vm: model.VmId): model.VmId[] {
    const candidates = [...this.#owner.table.list()].filter((entry) =>
      entry.health === "live" && entry.vm !== vm && entry.vm !== this.#owner.self.vm
    );
    const picked: model.VmId[] = [];
    while (picked.length < HELPERS && candidates.length > 0) {
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
      // The earlier process learns that it has been replaced, and nothing else.
      this.#owner.counters.refused.inc({ reason: "stale_incarnation" });
      return this.#createAnswer([known]);
    }
    const progress = this.#getCaller(from.vm);
    this.#mergeAll([request.entry, ...request.news], true);
    const { news, next } = this.#owner.table.listNews(progress.told, messages.MAX_NEWS);
    progress.told = next;
    const about = this.#owner.table.get(from.vm);
    const isDoubted = about !== undefined && about.health !== "live";
    return this.#createAnswer(isDoubted ? [about, ...news] : news);
  }

  #createAnswer(news: readonly entries.MemberEntry[]): unknown {
    return {
      entry: entries.encodeEntry(this.#owner.ownEntry),
      digest: this.#owner.table.digest,
      news: news.map(entries.encodeEntry),
    };
  }

  #getCaller(vm: model.VmId): Progress {
    let progress = this.#callers.get(vm);
    if (progress === undefined) {
      progress = { told: this.#owner.table.logEnd, mismatches: 0 };
      this.#callers.set(vm, progress);
      this.#forgetCallers();
    }
    return progress;
  }

  #forgetCallers(): void {
    for (const vm of this.#callers.keys()) {
      if (this.#callers.size > 1 && this.#owner.table.get(vm) === undefined) {
        this.#callers.delete(vm);
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
      // What a VM says of itself is news; the rest repairs a difference that others repair too.
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

  #mergeAll(merged: readonly entries.MemberEntry[], isNews: boolean): void {
    for (const entry of merged) {
      this.#owner.merge(entry, isNews);
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
