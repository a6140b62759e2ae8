/**
 * Messages between the rate limiters of VMs. The receiver validates each against its schema.
 */

import * as fleet from "@hemlockwalk/fleet";
import * as zod from "zod";
import * as shards from "./shards.ts";

/** A coordinator requests a VM's votes; the reply is a `leaseAnswer`. */
export const LEASE_CHANNEL = fleet.createChannelName("limits.lease");
/** A VM requests tokens from a coordinator; the reply is a `grantAnswer`. */
export const GRANT_CHANNEL = fleet.createChannelName("limits.grant");
/**
 * A VM has another VM forward its request to a coordinator; the reply, if any, is a `grantAnswer`.
 */
export const DETOUR_CHANNEL = fleet.createChannelName("limits.detour");
/** A VM returns tokens to a coordinator; there is no reply. */
export const RETURN_CHANNEL = fleet.createChannelName("limits.return");

const MAXIMUM_BATCH_ENTRIES = 10_000;
/** A shard with more levels than this is handed over without them, and its buckets start empty. */
export const MAXIMUM_HANDOVER_LEVELS = 5_000;
const MAXIMUM_CAPACITY_DROPS = 32;

const shard = zod.int().min(0).max(shards.SHARD_COUNT - 1);
const shardList = zod.array(shard).max(shards.SHARD_COUNT);
const count = zod.int().min(0);
const amount = zod.number().min(0);
const workspace = zod.string().min(1).max(63);

export const leaseRequest = zod.object({
  /** Increases with each request of a coordinator, so that the voter can reject late ones. */
  sequence: count,
  /**
   * All shards that the coordinator claims. Shards that it held and no longer lists are released.
   */
  shards: shardList,
  leaseMilliseconds: zod.number().positive(),
  /** Number of the release note in force at the coordinator. */
  number: count,
  /** Hash of the digest of that note. */
  digest: count,
  /** The coordinator is about to stop and releases all its shards. */
  leaving: zod.boolean().optional(),
});
export type LeaseRequest = zod.infer<typeof leaseRequest>;

/** A decrease of the spendable shares: the shares after it, and the share-seconds accrued since. */
const capacityDrop = zod.object({
  pooled: amount,
  lent: amount,
  pooledSeconds: amount,
  lentSeconds: amount,
});

/** Bucket levels of one shard from its earlier coordinator, which has deducted them. */
export const handover = zod.object({
  shard,
  levels: zod.array(zod.object({ workspace, level: amount })).max(MAXIMUM_HANDOVER_LEVELS),
  /** Bounds on the levels of all workspaces that are not listed. */
  drops: zod.array(capacityDrop).max(MAXIMUM_CAPACITY_DROPS),
});
export type Handover = zod.infer<typeof handover>;

export const leaseAnswer = zod.object({
  /** Shards for which the voter has voted for the coordinator. */
  shards: shardList,
  vmLimit: zod.int().positive(),
  handovers: zod.array(handover).max(shards.SHARD_COUNT).optional(),
});
export type LeaseAnswer = zod.infer<typeof leaseAnswer>;

const tokenRequest = zod.object({
  workspace,
  /** Requests that wait for a token now. */
  waiting: count,
  /** Tokens to prefetch for requests that are expected soon. */
  ahead: count,
  /** The prefetched tokens are wanted only if the coordinator has many tokens left. */
  onlyFromPlenty: zod.boolean().optional(),
});
export type TokenRequest = zod.infer<typeof tokenRequest>;

const grant = zod.object({
  workspace,
  /** Identifies the grant at the coordinator that issued it. */
  grant: count,
  tokens: count,
  /** Measured from the sending of the request. */
  lifetimeMilliseconds: amount,
  /** Time until the next token; absent unless the coordinator has a majority. */
  retryAfterMilliseconds: amount.optional(),
});
export type Grant = zod.infer<typeof grant>;

export const grantAnswer = zod.object({ grants: zod.array(grant).max(MAXIMUM_BATCH_ENTRIES) });
export type GrantAnswer = zod.infer<typeof grantAnswer>;

/** The end of a grant with the number of unused tokens; 0 when all were spent. */
const grantReturn = zod.object({ workspace, grant: count, tokens: count });
export type GrantReturn = zod.infer<typeof grantReturn>;

export const grantRequest = zod.object({
  asks: zod.array(tokenRequest).max(MAXIMUM_BATCH_ENTRIES),
  /** Grants that have ended since the last message. */
  returns: zod.array(grantReturn).max(MAXIMUM_BATCH_ENTRIES).optional(),
});
export type GrantRequest = zod.infer<typeof grantRequest>;

export const detourRequest = zod.object({
  coordinator: zod.string().min(1).max(63),
  request: grantRequest,
});
export interface DetourRequest {
  readonly coordinator: string;
  readonly request: GrantRequest;
}

export const returnMessage = zod.object({
  returns: zod.array(grantReturn).max(MAXIMUM_BATCH_ENTRIES),
});
