/**
 * The coordinator of one service on one VM: pools the digests of all VMs and answers with verdicts.
 *
 * Any VM acts as coordinator for whoever sends it digests. Two of them at once, while VMs disagree on
 * the fleet, do no harm: each VM follows one, within its own floor.
 */

import * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";
import * as intervals from "./evidence_intervals.ts";
import * as judges from "./service_evaluator.ts";
import * as messages from "./messages.ts";
import type * as types from "./types.ts";

/** Evidence that was this much longer under way than the quickest digest of its VM is void. */
const LATE_MILLISECONDS = 3_000;

/** VMs that may send trial requests, in each data centre. */
const TRIAL_VMS_FOR_DATA_CENTRE = 3;

/** Suspect VMs of a data centre above which the cause lies outside of them. */
const LEAST_SUSPECT_VMS = 3;
const SUSPECT_VM_SHARE = 0.5;

const EVALUATION_INTERVAL_MILLISECONDS = 50;

/** A target's load below this is not told, since it does not change a choice. */
const LEAST_TOLD_LOAD = 1;

/** A VM that was not heard for this many verdict lifetimes no longer uses the service. */
const USER_LIFETIMES = 2;

/** Why evidence was not counted. */
export type VoidReason = "late" | "duplicate" | "self_suspect" | "pause" | "unknown_target";

/** Sends a verdict message to a VM. */
export type SendVerdicts = (to: model.VmId, message: messages.VerdictMessage) => void;

/** What the coordinator needs from its VM. */
export interface CoordinatorContext {
  readonly service: model.ServiceId;
  readonly judge: judges.ServiceJudge;
  readonly send: SendVerdicts;
  readonly countVoid: (reason: VoidReason, calls: number) => void;
  readonly countMembers: () => number;
  /** Whether the target stands in the data centre; undefined when the target is not declared. */
  readonly isNear: (target: types.ShortId, dataCentre: model.DataCentreId) => boolean | undefined;
}

interface User {
  identity: fleet.VmIdentity;
  echo: number;
  heardAt: number;
  /** Smallest difference seen between this VM's clock and the sender's. */
  clockOffset: number;
  suspect: boolean;
  /** Whether the last message told of verdicts or loads. */
  wasTold: boolean;
  loads: readonly messages.TargetLoad[];
}

/** Coordinates one service. */
export class Coordinator {
  readonly #context: CoordinatorContext;
  readonly #users = new Map<model.VmId, User>();
  #sequence = 0;
  #sentVersion = 0;
  #evaluatedAt = Number.NEGATIVE_INFINITY;

  constructor(context: CoordinatorContext) {
    this.#context = context;
  }

  /** Whether any VM still reports to it. */
  get isUsed(): boolean {
    return this.#users.size > 0;
  }

  get judge(): judges.ServiceJudge {
    return this.#context.judge;
  }

  /** Takes a digest, and answers it. */
  receive(from: fleet.VmIdentity, digest: messages.Digest, nowMilliseconds: number): void {
    const user = this.#noteUser(from, digest, nowMilliseconds);
    if (user === undefined) {
      this.#context.countVoid("duplicate", countCalls(digest));
      return;
    }
    this.#takeCalls(user, digest, nowMilliseconds);
    for (const target of digest.probed ?? []) {
      this.judge.noteProbeSuccess(target as types.ShortId);
    }
    if (digest.held !== undefined && !user.suspect) {
      for (const verdict of messages.listVerdicts(digest.held)) {
        this.judge.adopt(verdict, nowMilliseconds);
      }
    }
    this.evaluate(nowMilliseconds);
    // Where there is nothing to tell and nothing was told before, an answer would be wasted.
    if (this.#hasNews() || user.wasTold) {
      this.#send(user, nowMilliseconds);
    }
  }

  /** Judges the targets, and tells all VMs when verdicts have changed. */
  evaluate(nowMilliseconds: number): void {
    if (nowMilliseconds - this.#evaluatedAt < EVALUATION_INTERVAL_MILLISECONDS) {
      return;
    }
    this.#evaluatedAt = nowMilliseconds;
    this.judge.evaluate(nowMilliseconds);
    if (this.judge.version !== this.#sentVersion) {
      this.#sentVersion = this.judge.version;
      for (const user of this.#users.values()) {
        this.#send(user, nowMilliseconds);
      }
    }
  }

  /** Forgets VMs that have not been heard for long. */
  expireUsers(nowMilliseconds: number): void {
    const lifetime = intervals.getVerdictLifetime(this.#context.countMembers()) * USER_LIFETIMES;
    for (const [vm, user] of this.#users) {
      if (nowMilliseconds - user.heardAt > lifetime) {
        this.#users.delete(vm);
      }
    }
  }

  /** Voids the evidence, such as after a pause of this VM. */
  voidEvidence(): void {
    this.judge.voidEvidence();
  }

  #noteUser(
    from: fleet.VmIdentity,
    digest: messages.Digest,
    nowMilliseconds: number,
  ): User | undefined {
    const earlier = this.#users.get(from.vm);
    const sameLife = earlier?.identity.incarnation === from.incarnation ? earlier : undefined;
    if (sameLife !== undefined && digest.sentAt <= sameLife.echo) {
      return undefined;
    }
    const offset = nowMilliseconds - digest.sentAt;
    const user: User = {
      identity: from,
      echo: digest.sentAt,
      heardAt: nowMilliseconds,
      clockOffset: Math.min(offset, sameLife?.clockOffset ?? offset),
      suspect: digest.suspect,
      wasTold: sameLife?.wasTold ?? false,
      loads: messages.listLoads(digest.loads),
    };
    this.#users.set(from.vm, user);
    return user;
  }

  #takeCalls(user: User, digest: messages.Digest, nowMilliseconds: number): void {
    const { vm, dataCentre } = user.identity;
    const reason = this.#getVoidReason(user, nowMilliseconds);
    for (const calls of messages.listCalls(digest)) {
      const near = this.#context.isNear(calls.target, dataCentre);
      if (near === undefined) {
        this.#context.countVoid("unknown_target", calls.count);
      } else if (reason !== undefined) {
        this.#context.countVoid(reason, calls.count);
      } else {
        this.judge.report({ ...calls, vm, dataCentre, near }, calls.trial, nowMilliseconds);
      }
    }
  }

  #getVoidReason(user: User, nowMilliseconds: number): VoidReason | undefined {
    if (nowMilliseconds - user.echo - user.clockOffset > LATE_MILLISECONDS) {
      return "late";
    }
    return user.suspect && !this.#isWidelySuspect(user) ? "self_suspect" : undefined;
  }

  /** Whether so many VMs of the data centre suspect themselves that the cause lies elsewhere. */
  #isWidelySuspect(user: User): boolean {
    let users = 0;
    let suspect = 0;
    for (const other of this.#users.values()) {
      if (other.identity.dataCentre === user.identity.dataCentre) {
        users++;
        suspect += other.suspect ? 1 : 0;
      }
    }
    return suspect >= LEAST_SUSPECT_VMS && suspect >= users * SUSPECT_VM_SHARE;
  }

  #hasNews(): boolean {
    return this.judge.hasVerdicts || this.#sumLoads().length > 0;
  }

  #send(user: User, nowMilliseconds: number): void {
    this.#sequence++;
    user.wasTold = this.#hasNews();
    const verdicts = this.judge.listVerdicts(nowMilliseconds);
    this.#context.send(user.identity.vm, {
      service: this.#context.service,
      sequence: this.#sequence,
      echo: user.echo,
      life: fleet.hashText(user.identity.incarnation),
      verdicts: messages.packVerdicts(verdicts),
      mayTry: verdicts.length > 0 && this.#mayTry(user),
      loads: messages.packLoads(this.#sumLoads()),
    });
  }

  #mayTry(user: User): boolean {
    const { vm, dataCentre } = user.identity;
    const names: model.VmId[] = [];
    for (const other of this.#users.values()) {
      if (other.identity.dataCentre === dataCentre && !other.suspect) {
        names.push(other.identity.vm);
      }
    }
    return fleet.rankOwners(this.#context.service, names, TRIAL_VMS_FOR_DATA_CENTRE).includes(vm);
  }

  #sumLoads(): messages.TargetLoad[] {
    const sums = new Map<types.ShortId, number>();
    for (const user of this.#users.values()) {
      for (const { target, running } of user.loads) {
        sums.set(target, (sums.get(target) ?? 0) + running);
      }
    }
    const loads = [...sums].map(([target, running]) => ({ target, running }));
    return loads.filter(({ running }) => running >= LEAST_TOLD_LOAD);
  }
}

function countCalls(digest: messages.Digest): number {
  return messages.listCalls(digest).reduce((sum, { count }) => sum + count, 0);
}
