/**
 * The coordinator role of a VM: it claims shards, keeps the token buckets of their workspaces and
 * grants tokens.
 *
 * A shard is released in steps. For one grant lifetime, all new grants expire by the end of that
 * time. Then the coordinator stores the levels for the handover and releases its votes, and its
 * successor receives the levels with this VM's vote.
 */

import type * as configuration from "@hemlockwalk/configuration";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as messages from "./messages.ts";
import type * as limiterMetrics from "./metrics.ts";
import * as buckets from "./pooled_bucket.ts";
import type * as policies from "./reserved_policy.ts";
import * as safety from "./safety_margins.ts";
import * as authorities from "./shard_authority.ts";
import * as shards from "./shards.ts";

/** Share of the tokens left after the waiting requests that one request may prefetch. */
const PREFETCH_SHARE = 0.125;

/** Least number of tokens left at which tokens are prefetched for uncertain demand. */
const UNCERTAIN_PREFETCH_TOKENS = 40;

/** A shorter grant would expire before a VM could spend it. */
const MINIMUM_GRANT_MILLISECONDS = 5;

interface CoordinatedShard {
  readonly authority: authorities.ShardAuthority;
  readonly buckets: Map<model.WorkspaceId, buckets.PooledBucket>;
  /** When this VM releases the shard; undefined while it keeps the shard. */
  releaseMilliseconds: number | undefined;
}

interface PendingHandover {
  readonly handover: messages.Handover;
  readonly sinceMilliseconds: number;
}

/** The shards that this VM coordinates. */
export class Coordinator {
  readonly #configuration: configuration.ConfigurationService;
  readonly #margins: safety.SafetyMargins;
  readonly #recentConfigurations: policies.RecentConfigurations;
  readonly #metrics: limiterMetrics.LimiterMetrics;
  readonly #shards = new Map<number, CoordinatedShard>();
  readonly #outgoingHandovers = new Map<number, PendingHandover>();
  /** Handovers received before the votes of a majority. */
  readonly #incomingHandovers = new Map<number, PendingHandover>();
  #lastGrantId = 0;

  constructor(
    configurationService: configuration.ConfigurationService,
    recentConfigurations: policies.RecentConfigurations,
    margins: safety.SafetyMargins,
    metrics: limiterMetrics.LimiterMetrics,
  ) {
    this.#configuration = configurationService;
    this.#recentConfigurations = recentConfigurations;
    this.#margins = margins;
    this.#metrics = metrics;
  }

  /** Number of workspaces for which state is kept. */
  get activeWorkspaceCount(): number {
    let count = 0;
    for (const shard of this.#shards.values()) {
      count += shard.buckets.size;
    }
    return count;
  }

  /** Number of shards whose pooled part this VM may spend. */
  countMajorities(nowMilliseconds: number): number {
    let count = 0;
    for (const { authority } of this.#shards.values()) {
      authority.advance(nowMilliseconds);
      count += authority.hasMajority ? 1 : 0;
    }
    return count;
  }

  /** The shards for which this VM requests votes. */
  listClaims(): number[] {
    return [...this.#shards.keys()];
  }

  /** Whether any claimed shard lacks a majority. */
  lacksAnyMajority(nowMilliseconds: number): boolean {
    return this.countMajorities(nowMilliseconds) < this.#shards.size;
  }

  /** Whether this VM claims a shard and lacks a majority for it. */
  lacksMajority(shard: number, nowMilliseconds: number): boolean {
    const authority = this.#shards.get(shard)?.authority;
    authority?.advance(nowMilliseconds);
    return authority !== undefined && !authority.hasMajority;
  }

  /** Starts to claim a shard, or cancels its release. */
  claim(shard: number, nowMilliseconds: number): void {
    const coordinated = this.#shards.get(shard);
    if (coordinated !== undefined) {
      coordinated.releaseMilliseconds = undefined;
      return;
    }
    const authority = new authorities.ShardAuthority(
      this.#getVmLimit(),
      this.#margins,
      nowMilliseconds,
    );
    this.#outgoingHandovers.delete(shard);
    this.#shards.set(shard, { authority, buckets: new Map(), releaseMilliseconds: undefined });
  }

  /** Starts to release a shard. */
  startRelease(shard: number, nowMilliseconds: number): void {
    const coordinated = this.#shards.get(shard);
    if (coordinated !== undefined) {
      coordinated.releaseMilliseconds ??= nowMilliseconds + safety.GRANT_LIFETIME_MILLISECONDS;
    }
  }

  /**
   * Releases the shards whose release is due and stores their levels for the handover. Returns
   * whether there were any.
   */
  finishReleases(nowMilliseconds: number): boolean {
    let released = false;
    for (const [shard, coordinated] of this.#shards) {
      if ((coordinated.releaseMilliseconds ?? Number.POSITIVE_INFINITY) <= nowMilliseconds) {
        this.#release(shard, coordinated, nowMilliseconds);
        released = true;
      }
    }
    return released;
  }

  /**
   * Adds the votes of a reply.
   *
   * @param sentMilliseconds When the request for the votes was sent.
   */
  addVotes(
    voter: model.VmId,
    answer: messages.LeaseAnswer,
    leaseMilliseconds: number,
    sentMilliseconds: number,
    nowMilliseconds: number,
  ): void {
    const lifetime = safety.getReceiverLifetimeMilliseconds(leaseMilliseconds, this.#margins);
    const expiry = sentMilliseconds + lifetime;
    for (const shard of answer.shards) {
      const authority = this.#shards.get(shard)?.authority;
      authority?.addVote(voter, expiry, answer.vmLimit, nowMilliseconds);
    }
    for (const handover of answer.handovers ?? []) {
      this.#incomingHandovers.set(handover.shard, {
        handover,
        sinceMilliseconds: sentMilliseconds,
      });
    }
    this.#adoptReceived(nowMilliseconds);
  }

  /**
   * Returns the stored levels of a shard for the handover and removes them, which deducts them
   * here.
   */
  consumeHandover(shard: number, nowMilliseconds: number): messages.Handover | undefined {
    const outgoing = this.#outgoingHandovers.get(shard);
    if (outgoing === undefined) {
      return undefined;
    }
    const age = nowMilliseconds - outgoing.sinceMilliseconds;
    if (age > safety.HANDOVER_VALIDITY_MILLISECONDS) {
      this.#outgoingHandovers.delete(shard);
      return undefined;
    }
    if (this.#margins.deductionBeforeSending) {
      this.#outgoingHandovers.delete(shard);
    }
    this.#metrics.handovers.inc({ result: "sent" });
    return outgoing.handover;
  }

  /**
   * Takes a token for a request of this VM. Returns undefined if this VM has no token and no
   * majority for the shard, and so cannot decide.
   */
  tryTake(workspace: model.Workspace, nowMilliseconds: number): boolean | undefined {
    const coordinated = this.#shards.get(shards.getShard(workspace.id));
    if (coordinated === undefined) {
      return undefined;
    }
    coordinated.authority.advance(nowMilliseconds);
    if (coordinated.authority.isEmpty) {
      return undefined;
    }
    const taken = this.#getBucket(coordinated, workspace, nowMilliseconds).tryTake(nowMilliseconds);
    return taken || coordinated.authority.hasMajority ? taken : undefined;
  }

  /** Milliseconds until the workspace has a whole token at this coordinator. */
  getWaitMilliseconds(workspace: model.Workspace, nowMilliseconds: number): number {
    const coordinated = this.#shards.get(shards.getShard(workspace.id));
    if (coordinated === undefined) {
      return 0;
    }
    return this.#getBucket(coordinated, workspace, nowMilliseconds).getWaitMilliseconds(
      nowMilliseconds,
    );
  }

  /** Grants tokens in reply to a request of a VM. */
  grant(request: messages.TokenRequest, nowMilliseconds: number): messages.Grant {
    const id = request.workspace as model.WorkspaceId;
    const coordinated = this.#shards.get(shards.getShard(id));
    const workspace = this.#configuration.getSnapshot()?.findWorkspace(id);
    coordinated?.authority.advance(nowMilliseconds);
    const lifetimeMilliseconds = coordinated === undefined
      ? 0
      : this.#getGrantLifetime(coordinated, nowMilliseconds);
    if (
      coordinated === undefined || workspace === undefined || coordinated.authority.isEmpty ||
      lifetimeMilliseconds < MINIMUM_GRANT_MILLISECONDS
    ) {
      this.#metrics.grants.inc({ result: "no_authority" });
      return { workspace: id, grant: 0, tokens: 0, lifetimeMilliseconds: 0 };
    }
    const bucket = this.#getBucket(coordinated, workspace, nowMilliseconds);
    const tokens = chooseTokens(request, bucket.getLevel(nowMilliseconds));
    if (tokens > 0) {
      this.#lastGrantId++;
      bucket.addGrant(this.#lastGrantId, tokens, nowMilliseconds + lifetimeMilliseconds);
    }
    this.#metrics.grants.inc({ result: tokens < request.waiting ? "short" : "full" });
    this.#metrics.grantedTokens.inc(tokens);
    const grant = { workspace: id, grant: this.#lastGrantId, tokens, lifetimeMilliseconds };
    return coordinated.authority.hasMajority
      ? { ...grant, retryAfterMilliseconds: Math.ceil(bucket.getWaitMilliseconds(nowMilliseconds)) }
      : grant;
  }

  /** Ends a grant and adds its unused tokens to their bucket. */
  endGrant(end: messages.GrantReturn, nowMilliseconds: number): void {
    const id = end.workspace as model.WorkspaceId;
    const bucket = this.#shards.get(shards.getShard(id))?.buckets.get(id);
    const taken = bucket?.endGrant(end.grant, end.tokens, nowMilliseconds) ?? false;
    this.#metrics.returnedTokens.inc({ result: taken ? "taken" : "late" }, end.tokens);
  }

  /** Updates all buckets and removes idle ones. */
  sweep(nowMilliseconds: number): void {
    for (const coordinated of this.#shards.values()) {
      coordinated.authority.configure(this.#getVmLimit(), nowMilliseconds);
      for (const [workspace, bucket] of coordinated.buckets) {
        const isUnused = nowMilliseconds - bucket.lastUsedMilliseconds >
          safety.GRANT_LIFETIME_MILLISECONDS;
        if (bucket.isIdle(nowMilliseconds) && isUnused) {
          coordinated.buckets.delete(workspace);
        }
      }
    }
  }

  #getGrantLifetime(coordinated: CoordinatedShard, nowMilliseconds: number): number {
    const longest = safety.GRANT_LIFETIME_MILLISECONDS;
    if (!this.#margins.accrualAfterExpiry) {
      return longest;
    }
    const releaseMilliseconds = coordinated.releaseMilliseconds ?? Number.POSITIVE_INFINITY;
    const end = coordinated.authority.hasMajority
      ? coordinated.authority.getMajorityEndMilliseconds(nowMilliseconds)
      : Number.POSITIVE_INFINITY;
    return Math.floor(
      Math.min(longest, releaseMilliseconds - nowMilliseconds, end - nowMilliseconds),
    );
  }

  #getBucket(
    coordinated: CoordinatedShard,
    workspace: model.Workspace,
    nowMilliseconds: number,
  ): buckets.PooledBucket {
    // Only the coordinator's own configuration counts for its buckets.
    const current = this.#configuration.getSnapshot()?.findWorkspace(workspace.id) ?? workspace;
    const reservedShare = this.#recentConfigurations.getShare(current, nowMilliseconds);
    let bucket = coordinated.buckets.get(workspace.id);
    if (bucket === undefined) {
      bucket = new buckets.PooledBucket(
        current,
        reservedShare,
        coordinated.authority,
        this.#margins,
      );
      coordinated.buckets.set(workspace.id, bucket);
    }
    bucket.configure(current, reservedShare, nowMilliseconds);
    bucket.lastUsedMilliseconds = nowMilliseconds;
    return bucket;
  }

  #release(shard: number, coordinated: CoordinatedShard, nowMilliseconds: number): void {
    const { authority } = coordinated;
    authority.advance(nowMilliseconds);
    if (authority.hasMajority && coordinated.buckets.size <= messages.MAXIMUM_HANDOVER_LEVELS) {
      const levels = [...coordinated.buckets].map(([workspace, bucket]) => ({
        workspace,
        level: bucket.getLevel(nowMilliseconds),
      }));
      const drops = authority.listRelativeDrops();
      const handover = { shard, levels, drops };
      this.#outgoingHandovers.set(shard, { handover, sinceMilliseconds: nowMilliseconds });
    }
    authority.release(nowMilliseconds);
    this.#shards.delete(shard);
  }

  #adoptReceived(nowMilliseconds: number): void {
    for (const [shard, received] of this.#incomingHandovers) {
      const coordinated = this.#shards.get(shard);
      coordinated?.authority.advance(nowMilliseconds);
      const age = nowMilliseconds - received.sinceMilliseconds;
      // After the majority was gained a second time, the levels could be counted twice.
      if (
        coordinated === undefined || age > safety.HANDOVER_VALIDITY_MILLISECONDS ||
        coordinated.authority.gainCount > 1
      ) {
        this.#metrics.handovers.inc({ result: "dropped" });
        this.#incomingHandovers.delete(shard);
      } else if (coordinated.authority.hasMajority) {
        this.#incomingHandovers.delete(shard);
        this.#adopt(coordinated, received.handover, nowMilliseconds);
      }
    }
  }

  #adopt(
    coordinated: CoordinatedShard,
    handover: messages.Handover,
    nowMilliseconds: number,
  ): void {
    const levels = handover.levels.map(({ workspace: id, level }) => ({
      workspace: this.#configuration.getSnapshot()?.findWorkspace(id as model.WorkspaceId),
      level,
    }));
    // A workspace that is not in this VM's configuration yet would later be treated as one that was
    // idle, with a higher level than it has.
    if (levels.some(({ workspace }) => workspace === undefined)) {
      this.#metrics.handovers.inc({ result: "unknown_workspace" });
      return;
    }
    this.#metrics.handovers.inc({ result: "adopted" });
    // The buckets of the listed workspaces must exist before the bounds for all others, which are
    // higher, are adopted.
    for (const { workspace, level } of levels) {
      kernel.assert(workspace !== undefined, "All workspaces were found.");
      this.#getBucket(coordinated, workspace, nowMilliseconds).adopt(level, nowMilliseconds);
    }
    coordinated.authority.adoptDrops(handover.drops);
  }

  #getVmLimit(): number {
    return this.#configuration.getSnapshot()?.fleet.vmLimit ?? 1;
  }
}

function chooseTokens(request: messages.TokenRequest, level: number): number {
  const available = Math.floor(level + 1e-9);
  if (available <= request.waiting) {
    return available;
  }
  const left = available - request.waiting;
  // A VM with uncertain demand gets a token only if many are left for the others.
  const isWorthwhile = request.onlyFromPlenty !== true || left >= UNCERTAIN_PREFETCH_TOKENS;
  const prefetched = isWorthwhile ? Math.floor(left * PREFETCH_SHARE) : 0;
  return request.waiting + Math.min(request.ahead, prefetched);
}
