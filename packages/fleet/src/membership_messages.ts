/**
 * Messages by which VMs keep their views of the fleet up to date.
 */

import type * as model from "@hemlockwalk/model";
import * as zod from "zod";
import * as entries from "./member_entry.ts";
import * as table from "./member_table.ts";
import * as messaging from "./peer_messaging.ts";

/** A heartbeat with updates. The response carries updates too. */
export const EXCHANGE_CHANNEL = messaging.createChannelName("membership.exchange");
/** The digests of all groups. The response carries the entries of the groups that differ. */
export const SYNC_CHANNEL = messaging.createChannelName("membership.sync");
/** Entries for a VM that lacks them. There is no response. */
export const PUSH_CHANNEL = messaging.createChannelName("membership.push");
/** A request to a third VM to ping another VM. */
export const PROBE_CHANNEL = messaging.createChannelName("membership.probe");
/** A ping, to which a running VM responds at once. */
export const PING_CHANNEL = messaging.createChannelName("membership.ping");

/** Maximum number of updates in one heartbeat or its response. */
export const MAX_UPDATES = 24;
/** Maximum number of entries in one push or one response to a synchronization request. */
export const MAX_SYNC_ENTRIES = 128;

const updates = zod.array(entries.entrySchema).max(MAX_UPDATES + 1);
const digest = zod.number().int().min(0).max(0xffff_ffff);
const digests = zod.array(digest).length(table.BUCKET_COUNT);
const page = zod.array(entries.entrySchema).max(MAX_SYNC_ENTRIES);

export const exchangeSchema = zod.object({
  /** The sender's own entry. */
  entry: entries.entrySchema,
  digest,
  news: updates,
});

export const exchangeAnswerSchema = exchangeSchema;

export const syncSchema = zod.object({ digests });

export const syncAnswerSchema = zod.object({
  digests,
  entries: page,
  /** Whether `entries` holds all entries that differ. */
  isWhole: zod.boolean(),
});

export const pushSchema = zod.object({ entries: page });

export const probeSchema = zod.object({
  vm: zod.string().min(1).max(128).transform((value) => value as model.VmId),
});

export const probeAnswerSchema = zod.object({ isReached: zod.boolean() });
