/**
 * The coordinator of one service on one VM. It combines the digests of all VMs and replies with
 * verdicts.
 *
 * A VM acts as coordinator for every VM that sends it digests. While the VMs disagree on the
 * members of the fleet, a service may have two coordinators. This is safe: each VM follows only one
 * of them and keeps to its own floor.
 */

import * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";
import * as intervals from "./evidence_intervals.ts";
import * as evaluators from "./service_evaluator.ts";
import * as messages from "./messages.ts";
import type * as types from "./types.ts";

/** Evidence is discarded if its digest took this much longer than the fastest one from the VM. */
const MAXIMUM_DIGEST_DELAY_MILLISECONDS = 3_000;

/** Number of VMs in each data centre that may send trial requests. */
const TRIAL_VMS_PER_DATA_CENTRE = 3;

/**
 * Number and share of a data centre's VMs that must report a local fault for the cause to be
 * assumed outside these VMs.
 */
const MINIMUM_LOCAL_FAULT_VMS = 3;
const LOCAL_FAULT_VM_SHARE = 0.5;

const EVALUATION_INTERVAL_MILLISECONDS = 50;

/** A lower load of a target is not sent, since it would not change a choice. */
const MINIMUM_SENT_LOAD = 1;

/** A VM that has sent no digest for this many verdict lifetimes no longer uses the service. */
const SENDER_LIFETIMES = 2;

/** Why evidence was not counted. */
export type DiscardReason = "late" | "duplicate" | "self_suspect" | "pause" | "unknown_target";

/** Sends a verdict message to a VM. */
export type SendVerdicts = (to: model.VmId, message: messages.VerdictMessage) => void;

/** Services of the VM that a coordinator uses. */
export interface CoordinatorContext {
  readonly service: model.ServiceId;
  readonly evaluator: evaluators.ServiceEvaluator;
  readonly send: SendVerdicts;
  readonly countDiscarded: (reason: DiscardReason, calls: number) => void;
  readonly countMembers: () => number;
  /** Whether the target is in the data centre; undefined if the target is not declared. */
  readonly isNear: (target: types.ShortId, dataCentre: model.DataCentreId) => boolean | undefined;
}

/** A VM that sends digests to this coordinator. */
interface Sender {
  identity: fleet.VmIdentity;
  echo: number;
  lastReceivedAt: number;
  /** Smallest observed difference between this VM's clock and the sender's. */
  clockOffset: number;
  hasLocalFault: boolean;
  /** Whether the last message to the sender contained verdicts or loads. */
  hadUpdates: boolean;
  loads: readonly messages.TargetLoad[];
}

/** Coordinates one service. */
export class Coordinator {
  readonly #context: CoordinatorContext;
  readonly #senders = new Map<model.VmId, Sender>();
  #sequence = 0;
  #sentVersion = 0;
  #evaluatedAt = Number.NEGATIVE_INFINITY;

  constructor(context: CoordinatorContext) {
    this.#context = context;
  }

  /** Whether any VM still sends digests to this coordinator. */
  get hasSenders(): boolean {
    return this.#senders.size > 0;
  }

  get evaluator(): evaluators.ServiceEvaluator {
    return this.#context.evaluator;
  }

  /** Processes a digest and replies with verdicts. */
  receive(from: fleet.VmIdentity, digest: messages.Digest, nowMilliseconds: number): void {
    const sender = this.#recordSender(from, digest, nowMilliseconds);
    if (sender === undefined) {
      this.#context.countDiscarded("duplicate", countCalls(digest));
      return;
    }
    this.#applyCalls(sender, digest, nowMilliseconds);
    for (const target of digest.probed ?? []) {
      this.evaluator.recordProbeSuccess(target as types.ShortId);
    }
    if (digest.held !== undefined && !sender.hasLocalFault) {
      for (const verdict of messages.listVerdicts(digest.held)) {
        this.evaluator.adopt(verdict, nowMilliseconds);
      }
    }
    this.evaluate(nowMilliseconds);
    // Without verdicts or loads, a reply is needed only to revoke those of the last message.
    if (this.#hasUpdates() || sender.hadUpdates) {
      this.#send(sender, nowMilliseconds);
    }
  }

  /** Evaluates the targets, and sends the verdicts to all VMs if they have changed. */
  evaluate(nowMilliseconds: number): void {
    if (nowMilliseconds - this.#evaluatedAt < EVALUATION_INTERVAL_MILLISECONDS) {
      return;
    }
    this.#evaluatedAt = nowMilliseconds;
    this.evaluator.evaluate(nowMilliseconds);
    if (this.evaluator.version !== this.#sentVersion) {
      this.#sentVersion = this.evaluator.version;
      for (const sender of this.#senders.values()) {
        this.#send(sender, nowMilliseconds);
      }
    }
  }

  /** Removes the VMs that have not sent a digest for a long time. */
  expireSenders(nowMilliseconds: number): void {
    const lifetime = intervals.getVerdictLifetime(this.#context.countMembers()) * SENDER_LIFETIMES;
    for (const [vm, sender] of this.#senders) {
      if (nowMilliseconds - sender.lastReceivedAt > lifetime) {
        this.#senders.delete(vm);
      }
    }
  }

  /** Discards the evidence, such as after a pause of this VM. */
  discardEvidence(): void {
    this.evaluator.discardEvidence();
  }

  #recordSender(
    from: fleet.VmIdentity,
    digest: messages.Digest,
    nowMilliseconds: number,
  ): Sender | undefined {
    const earlier = this.#senders.get(from.vm);
    const previous = earlier?.identity.incarnation === from.incarnation ? earlier : undefined;
    if (previous !== undefined && digest.sentAt <= previous.echo) {
      return undefined;
    }
    const offset = nowMilliseconds - digest.sentAt;
    const sender: Sender = {
      identity: from,
      echo: digest.sentAt,
      lastReceivedAt: nowMilliseconds,
      clockOffset: Math.min(offset, previous?.clockOffset ?? offset),
      hasLocalFault: digest.suspect,
      hadUpdates: previous?.hadUpdates ?? false,
      loads: messages.listLoads(digest.loads),
    };
    this.#senders.set(from.vm, sender);
    return sender;
  }

  #applyCalls(sender: Sender, digest: messages.Digest, nowMilliseconds: number): void {
    const { vm, dataCentre } = sender.identity;
    const reason = this.#getDiscardReason(sender, nowMilliseconds);
    for (const calls of messages.listCalls(digest)) {
      const near = this.#context.isNear(calls.target, dataCentre);
      if (near === undefined) {
        this.#context.countDiscarded("unknown_target", calls.count);
      } else if (reason !== undefined) {
        this.#context.countDiscarded(reason, calls.count);
      } else {
        this.evaluator.report({ ...calls, vm, dataCentre, near }, calls.trial, nowMilliseconds);
      }
    }
  }

  #getDiscardReason(sender: Sender, nowMilliseconds: number): DiscardReason | undefined {
    if (nowMilliseconds - sender.echo - sender.clockOffset > MAXIMUM_DIGEST_DELAY_MILLISECONDS) {
      return "late";
    }
    return sender.hasLocalFault && !this.#isFaultWidespread(sender) ? "self_suspect" : undefined;
  }

  /** Whether so many VMs of the data centre report a local fault that the cause lies elsewhere. */
  #isFaultWidespread(sender: Sender): boolean {
    let senders = 0;
    let withLocalFault = 0;
    for (const other of this.#senders.values()) {
      if (other.identity.dataCentre === sender.identity.dataCentre) {
        senders++;
        withLocalFault += other.hasLocalFault ? 1 : 0;
      }
    }
    return withLocalFault >= MINIMUM_LOCAL_FAULT_VMS &&
      withLocalFault >= senders * LOCAL_FAULT_VM_SHARE;
  }

  #hasUpdates(): boolean {
    return this.evaluator.hasVerdicts || this.#sumLoads().length > 0;
  }

  #send(sender: Sender, nowMilliseconds: number): void {
    this.#sequence++;
    sender.hadUpdates = this.#hasUpdates();
    const verdicts = this.evaluator.listVerdicts(nowMilliseconds);
    this.#context.send(sender.identity.vm, {
      service: this.#context.service,
      sequence: this.#sequence,
      echo: sender.echo,
      life: fleet.hashText(sender.identity.incarnation),
      verdicts: messages.packVerdicts(verdicts),
      mayTry: verdicts.length > 0 && this.#maySendTrials(sender),
      loads: messages.packLoads(this.#sumLoads()),
    });
  }

  #maySendTrials(sender: Sender): boolean {
    const { vm, dataCentre } = sender.identity;
    const vms: model.VmId[] = [];
    for (const other of this.#senders.values()) {
      if (other.identity.dataCentre === dataCentre && !other.hasLocalFault) {
        vms.push(other.identity.vm);
      }
    }
    return fleet.rankOwners(this.#context.service, vms, TRIAL_VMS_PER_DATA_CENTRE).includes(vm);
  }

  #sumLoads(): messages.TargetLoad[] {
    const sums = new Map<types.ShortId, number>();
    for (const sender of this.#senders.values()) {
      for (const { target, running } of sender.loads) {
        sums.set(target, (sums.get(target) ?? 0) + running);
      }
    }
    const loads = [...sums].map(([target, running]) => ({ target, running }));
    return loads.filter(({ running }) => running >= MINIMUM_SENT_LOAD);
  }
}

function countCalls(digest: messages.Digest): number {
  return messages.listCalls(digest).reduce((sum, { count }) => sum + count, 0);
}
