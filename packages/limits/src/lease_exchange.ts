/**
 * The exchange of votes between this VM and all others: it asks for votes for the shards that it
 * claims, and gives its own votes to others.
 */

import type * as configuration from "@hemlockwalk/configuration";
import * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as coordinators from "./coordinator.ts";
import * as messages from "./messages.ts";
import type * as limiterMetrics from "./metrics.ts";
import type * as policies from "./reserved_policy.ts";
import * as safety from "./safety_margins.ts";
import * as shards from "./shards.ts";
import * as voters from "./voter.ts";

/** What the exchange works with. */
export interface LeaseExchangeParts {
  readonly configuration: configuration.ConfigurationService;
  readonly network: fleet.PeerNetwork;
  readonly membership: fleet.Membership;
  readonly coordinator: coordinators.Coordinator;
  readonly recent: policies.RecentConfigurations;
  readonly metrics: limiterMetrics.LimiterMetrics;
  readonly logger: kernel.PartLogger;
  readonly margins: safety.SafetyMargins;
  readonly now: () => number;
}

/** How often votes are asked for while a claimed shard has no majority. */
const URGENT_RENEWAL_MILLISECONDS = 200;

/** For how many rounds after a change renewal is urgent. */
const URGENT_ROUNDS = 25;

const RENEWALS_PER_LEASE = 2.5;

/** Time in which a release reaches the other voters too. */
const RELEASE_MILLISECONDS = 10;

/** The task that asks one peer for votes. */
interface PeerTask {
  stopped: boolean;
  /** Whether the task was woken while it waited for an answer. */
  hurried: boolean;
  wait: AbortController;
}

/** Asks for votes and gives them. */
export class LeaseExchange {
  readonly #configuration: configuration.ConfigurationService;
  readonly #network: fleet.PeerNetwork;
  readonly #membership: fleet.Membership;
  readonly #coordinator: coordinators.Coordinator;
  readonly #recent: policies.RecentConfigurations;
  readonly #metrics: limiterMetrics.LimiterMetrics;
  readonly #logger: kernel.PartLogger;
  readonly #now: () => number;
  readonly #owners: shards.ShardOwners;
  readonly #voter: voters.Voter;
  readonly #stopping = new AbortController();
  readonly #peers = new Map<model.VmId, PeerTask>();
  readonly #sequences = new Map<model.VmId, number>();
  #urgentRounds = 0;
  #draining = false;

  constructor(parts: LeaseExchangeParts) {
    this.#configuration = parts.configuration;
    this.#network = parts.network;
    this.#membership = parts.membership;
    this.#coordinator = parts.coordinator;
    this.#recent = parts.recent;
    this.#metrics = parts.metrics;
    this.#logger = parts.logger;
    this.#now = parts.now;
    this.#owners = new shards.ShardOwners(parts.membership);
    this.#voter = new voters.Voter(
      parts.margins,
      this.#now(),
      (shard) => void this.#followRelease(shard),
    );
  }

  start(): void {
    this.#network.handle(messages.LEASE_CHANNEL, (message) => this.#answerLease(message));
    this.#membership.onChange(() => this.#followMembership());
    this.#configuration.onChange((change) => {
      this.#noteSnapshot(change.current);
      this.#hurry();
    });
    this.#followMembership();
  }

  /** Starts to give all shards up, and tells the others; false when there are no others. */
  close(): boolean {
    this.#draining = true;
    const now = this.#now();
    for (const shard of this.#coordinator.listClaims()) {
      this.#coordinator.close(shard, now);
    }
    this.#hurry();
    return this.#peers.size > 0;
  }

  stop(): void {
    this.#stopping.abort();
    for (const peer of this.#peers.values()) {
      stopPeer(peer);
    }
  }

  /** The VM that this VM is bound to knows best; without one, the view of the fleet decides. */
  findCoordinator(workspace: model.WorkspaceId): model.VmId {
    const shard = shards.getShard(workspace);
    return this.#voter.getHolder(shard, this.#now()) ?? this.#owners.getOwner(shard);
  }

  /** Since when this VM's own share of a workspace is its own; a time to come while it is lent. */
  getOwnSinceMilliseconds(workspace: model.WorkspaceId): number {
    const vmLimit = this.#configuration.getSnapshot()?.fleet.vmLimit ?? 1;
    return this.#voter.getOwnSinceMilliseconds(shards.getShard(workspace), vmLimit);
  }

  /** Regular work: own votes, closings, and forgetting what has expired. */
  sweep(now: number): void {
    this.#voteForSelf();
    this.#urgentRounds = Math.max(0, this.#urgentRounds - 1);
    this.#closeLostClaims(now);
    if (this.#coordinator.finishClosing(now)) {
      this.#logger.info("Shards were released.", { left: this.#coordinator.listClaims().length });
      this.#voteForSelf();
      this.#hurry();
    }
    this.#voter.sweep(now);
  }

  #followMembership(): void {
    this.#owners.refresh();
    const now = this.#now();
    const self = this.#network.self.vm;
    if (!this.#draining) {
      for (const shard of this.#owners.listShards(self)) {
        this.#coordinator.claim(shard, now);
      }
    }
    const members = this.#membership.listMembers();
    const listed = new Set(members.map((member) => member.vm));
    for (const vm of listed) {
      if (vm !== self && !this.#peers.has(vm)) {
        const peer = { stopped: false, hurried: false, wait: new AbortController() };
        this.#peers.set(vm, peer);
        void this.#runPeer(vm, peer);
      }
    }
    for (const [vm, peer] of this.#peers) {
      if (!listed.has(vm)) {
        stopPeer(peer);
        this.#peers.delete(vm);
      }
    }
    this.#voter.forgetCoordinators(new Set(members.map((member) => member.incarnation)));
    this.#hurry();
  }

  /** Asks all peers for votes at once, and often until there is a majority. */
  #hurry(): void {
    this.#urgentRounds = URGENT_ROUNDS;
    for (const peer of this.#peers.values()) {
      peer.hurried = true;
      peer.wait.abort();
    }
  }

  /** One task per peer: asks it for its votes again and again. */
  async #runPeer(vm: model.VmId, peer: PeerTask): Promise<void> {
    let claimed = false;
    while (!peer.stopped) {
      const claims = this.#coordinator.listClaims();
      // An empty claim is sent once, since it releases what was claimed before.
      if (claims.length > 0 || claimed) {
        await this.#renew(vm, claims);
      }
      claimed = claims.length > 0;
      if (peer.stopped) {
        return;
      }
      if (peer.hurried) {
        peer.hurried = false;
        continue;
      }
      // Whoever aborts the wait wakes the task.
      peer.wait = new AbortController();
      await kernel.sleep(this.#getRenewalMilliseconds(), peer.wait.signal);
      peer.hurried = false;
    }
  }

  #getRenewalMilliseconds(): number {
    const renewal = this.#getLeaseMilliseconds() / RENEWALS_PER_LEASE;
    const urgent = this.#urgentRounds > 0 && this.#coordinator.isIncomplete(this.#now());
    return urgent ? Math.min(URGENT_RENEWAL_MILLISECONDS, renewal) : renewal;
  }

  #getLeaseMilliseconds(): number {
    return safety.getLeaseMilliseconds(this.#configuration.getSnapshot()?.fleet.vmLimit ?? 1);
  }

  async #renew(vm: model.VmId, claims: number[]): Promise<void> {
    const request = this.#createLeaseRequest(vm, claims);
    if (request === undefined) {
      return;
    }
    const sent = this.#now();
    const timeout = request.leaseMilliseconds / RENEWALS_PER_LEASE;
    const result = await this.#network.call(vm, messages.LEASE_CHANNEL, request, timeout);
    if (result.isErr()) {
      this.#metrics.leases.inc({ result: result.error.kind });
      return;
    }
    const answer = messages.leaseAnswer.safeParse(result.value);
    if (!answer.success) {
      this.#metrics.malformed.inc({ channel: messages.LEASE_CHANNEL });
      return;
    }
    const isFull = answer.data.shards.length === claims.length;
    this.#metrics.leases.inc({ result: isFull ? "full" : "partial" });
    const now = this.#now();
    this.#coordinator.addVotes(vm, answer.data, request.leaseMilliseconds, sent, now);
  }

  #createLeaseRequest(vm: model.VmId, claims: number[]): messages.LeaseRequest | undefined {
    const snapshot = this.#noteSnapshot(this.#configuration.getSnapshot());
    if (snapshot === undefined) {
      return undefined;
    }
    const sequence = (this.#sequences.get(vm) ?? 0) + 1;
    this.#sequences.set(vm, sequence);
    return {
      sequence,
      shards: claims,
      leaseMilliseconds: this.#getLeaseMilliseconds(),
      number: snapshot.number,
      digest: fleet.hashText(snapshot.digest),
      ...(this.#draining ? { leaving: true } : {}),
    };
  }

  /** This VM votes for itself by the same rules as for any other. */
  #voteForSelf(): void {
    const self = this.#network.self;
    const request = this.#createLeaseRequest(self.vm, this.#coordinator.listClaims());
    if (request === undefined) {
      return;
    }
    const now = this.#now();
    const answer = this.#vote(self, request, now);
    this.#coordinator.addVotes(self.vm, answer, request.leaseMilliseconds, now, now);
  }

  #answerLease(message: fleet.PeerMessage): messages.LeaseAnswer {
    const request = messages.leaseRequest.safeParse(message.payload);
    if (!request.success) {
      this.#metrics.malformed.inc({ channel: messages.LEASE_CHANNEL });
      return { shards: [], vmLimit: 1 };
    }
    if (request.data.leaving === true && this.#owners.markLeaving(message.from.vm)) {
      this.#followMembership();
    }
    return this.#vote(message.from, request.data, this.#now());
  }

  #vote(
    from: fleet.VmIdentity,
    request: messages.LeaseRequest,
    now: number,
  ): messages.LeaseAnswer {
    const snapshot = this.#noteSnapshot(this.#configuration.getSnapshot());
    if (snapshot === undefined) {
      this.#metrics.votes.inc({ result: "no_configuration" });
      return { shards: [], vmLimit: 1 };
    }
    const own: voters.VoterConfiguration = {
      number: snapshot.number,
      digest: fleet.hashText(snapshot.digest),
      vmLimit: snapshot.fleet.vmLimit,
      sinceMilliseconds: this.#recent.sinceMilliseconds,
    };
    const vmLimit = own.vmLimit;
    const refusal = this.#voter.check(from, request, own, now);
    const isBehind = refusal === "configuration" && request.number < own.number;
    // Another VM takes the shards of one that does not follow.
    if (this.#owners.markBehind(from.vm, isBehind)) {
      this.#followMembership();
    }
    if (refusal !== undefined) {
      this.#metrics.votes.inc({ result: refusal });
      return { shards: [], vmLimit };
    }
    this.#yieldToOwner(from.vm, request.shards, now);
    const granted = this.#voter.vote(from, request, now);
    const isFull = granted.length === request.shards.length;
    this.#metrics.votes.inc({ result: isFull ? "full" : "partial" });
    const handovers = granted.map((shard) => this.#coordinator.takeHandover(shard, now))
      .filter((handover) => handover !== undefined);
    return handovers.length === 0
      ? { shards: granted, vmLimit }
      : { shards: granted, vmLimit, handovers };
  }

  #noteSnapshot(snapshot: configuration.Snapshot | undefined): configuration.Snapshot | undefined {
    this.#recent.note(snapshot, this.#now());
    return snapshot;
  }

  /** Shards are given up when their owner by this VM's own view asks for them. */
  #yieldToOwner(from: model.VmId, claimed: readonly number[], now: number): void {
    if (from === this.#network.self.vm) {
      return;
    }
    for (const shard of claimed) {
      if (this.#owners.getOwner(shard) === from) {
        this.#coordinator.close(shard, now);
      }
    }
  }

  /** A shard that this VM claims has just become free here, and about now elsewhere. */
  async #followRelease(shard: number): Promise<void> {
    if (!this.#coordinator.isWaitingFor(shard, this.#now())) {
      return;
    }
    await kernel.sleep(RELEASE_MILLISECONDS, this.#stopping.signal);
    this.#voteForSelf();
    this.#hurry();
  }

  /**
   * Votes that were given while views differed may be split between claimants for ever, since each
   * goes on renewing its own. One without a majority that is not the owner by its own view ends that.
   */
  #closeLostClaims(now: number): void {
    for (const shard of this.#coordinator.listClaims()) {
      const isOwner = this.#owners.getOwner(shard) === this.#network.self.vm;
      if (!isOwner && this.#coordinator.isWaitingFor(shard, now)) {
        this.#coordinator.close(shard, now);
      }
    }
  }
}

function stopPeer(peer: PeerTask): void {
  peer.stopped = true;
  peer.wait.abort();
}
