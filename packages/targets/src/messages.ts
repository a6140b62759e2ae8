/**
 * Messages between the VMs and the coordinator of a service, with the schemas by which the receiver
 * validates them. Entries are packed into flat lists of numbers, since they make up most of the
 * bytes.
 */

import * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";
import * as zod from "zod";
import * as latencies from "./latency_buckets.ts";
import type * as serviceEvidence from "./service_evidence.ts";
import type * as types from "./types.ts";

/** Evidence from a VM to the coordinator of a service. */
export const DIGEST_CHANNEL = fleet.createChannelName("targets.digest");

/** Verdicts from the coordinator of a service to a VM. */
export const VERDICT_CHANNEL = fleet.createChannelName("targets.verdict");

const MAXIMUM_ENTRIES = 4_000;
const CALL_FIELDS = 4;
const LOAD_FIELDS = 2;
const VERDICT_FIELDS = 6;

/** Loads are sent in hundredths of a request. */
const LOAD_UNITS_PER_REQUEST = 100;

const TRIAL_FLAG = 4;
const BUCKET_FACTOR = 8;
const RESULTS = ["answered", "broken", "failed", "shed"] as const;
const STATES = ["out", "trial"] as const;

const time = zod.number().min(0);
const numbers = (fields: number) =>
  zod.array(zod.number().int().min(0).max(0xffff_ffff))
    .max(MAXIMUM_ENTRIES * fields)
    .refine((list) => list.length % fields === 0, "Expected whole entries");
const serviceId = zod.string().min(1).max(63).transform((value) => value as model.ServiceId);

const verdicts = zod.strictObject({
  /** Target, route or 0, data centre index plus one or 0, state, remaining time, ejection count. */
  list: numbers(VERDICT_FIELDS),
  dataCentres: zod.array(
    zod.string().min(1).max(63).transform((value) => value as model.DataCentreId),
  ).max(64),
});

/** Verdicts as encoded in messages. */
export type PackedVerdicts = zod.output<typeof verdicts>;

/** Evidence that a VM has collected since its last digest. */
export const digestSchema = zod.strictObject({
  service: serviceId,
  /** Sending time in milliseconds, by the sender's clock; returned with the verdicts as `echo`. */
  sentAt: time,
  /** Whether the sender assumes a local fault, since its calls to many targets fail at once. */
  suspect: zod.boolean(),
  /** Target, route, result with bucket, count. */
  calls: numbers(CALL_FIELDS),
  /** Target, average number of running requests in hundredths. */
  loads: numbers(LOAD_FIELDS),
  /** Targets out of use whose probe succeeded. */
  probed: numbers(1).optional(),
  /** Verdicts that the sender holds from another coordinator. */
  held: verdicts.optional(),
});

/** A digest message. */
export type Digest = zod.output<typeof digestSchema>;

/** Verdicts and loads that a coordinator sends to a VM. */
export const verdictSchema = zod.strictObject({
  service: serviceId,
  /** Incremented with each message of one coordinator. */
  sequence: zod.number().int().min(0),
  /** `sentAt` of the newest digest that the coordinator has received from the receiver. */
  echo: time,
  /** Hash of the incarnation that sent that digest. A replaced VM has a different clock. */
  life: zod.number().int().min(0),
  verdicts,
  /** Whether the receiver may send trial requests. */
  mayTry: zod.boolean(),
  /** Target, running requests of all VMs in hundredths. */
  loads: numbers(LOAD_FIELDS),
});

/** A verdict message. */
export type VerdictMessage = zod.output<typeof verdictSchema>;

/** Calls of one digest entry, without the VM that reported them. */
export interface DigestCalls {
  readonly target: types.ShortId;
  readonly route: types.ShortId;
  readonly result: serviceEvidence.ReportedCalls["result"];
  readonly bucket: number;
  readonly trial: boolean;
  readonly count: number;
}

/** Number of requests that run on one target, averaged over time. */
export interface TargetLoad {
  readonly target: types.ShortId;
  readonly running: number;
}

/** The short identifier of a target or route. */
export function createShortId(id: model.TargetId | model.RouteId): types.ShortId {
  return fleet.hashText(id) as types.ShortId;
}

/** Packs the result, latency bucket and trial flag of calls into one number. */
export function packResult(
  result: serviceEvidence.ReportedCalls["result"],
  bucket: number,
  trial: boolean,
): number {
  return RESULTS.indexOf(result) + (trial ? TRIAL_FLAG : 0) + bucket * BUCKET_FACTOR;
}

/** Unpacks the calls of a digest. */
export function listCalls(digest: Digest): DigestCalls[] {
  const calls: DigestCalls[] = [];
  for (let index = 0; index < digest.calls.length; index += CALL_FIELDS) {
    const [target = 0, route = 0, packed = 0, count = 0] = digest.calls.slice(
      index,
      index + CALL_FIELDS,
    );
    const flags = packed % BUCKET_FACTOR;
    calls.push({
      target: target as types.ShortId,
      route: route as types.ShortId,
      result: RESULTS[flags % TRIAL_FLAG] ?? "answered",
      bucket: Math.min(Math.floor(packed / BUCKET_FACTOR), latencies.BUCKET_COUNT - 1),
      trial: flags >= TRIAL_FLAG,
      count,
    });
  }
  return calls;
}

/** Packs the loads of targets. */
export function packLoads(loads: Iterable<TargetLoad>): number[] {
  const packed: number[] = [];
  for (const { target, running } of loads) {
    packed.push(target, Math.round(running * LOAD_UNITS_PER_REQUEST));
  }
  return packed;
}

/** Unpacks the loads of targets. */
export function listLoads(packed: readonly number[]): TargetLoad[] {
  const loads: TargetLoad[] = [];
  for (let index = 0; index < packed.length; index += LOAD_FIELDS) {
    const [target = 0, units = 0] = packed.slice(index, index + LOAD_FIELDS);
    loads.push({ target: target as types.ShortId, running: units / LOAD_UNITS_PER_REQUEST });
  }
  return loads;
}

/** Packs verdicts. */
export function packVerdicts(list: readonly types.Verdict[]): PackedVerdicts {
  const dataCentres: model.DataCentreId[] = [];
  const packed: number[] = [];
  for (const { target, scope, state, remainingMilliseconds, ejectionCount } of list) {
    if (scope.dataCentre !== undefined && !dataCentres.includes(scope.dataCentre)) {
      dataCentres.push(scope.dataCentre);
    }
    const dataCentre = scope.dataCentre === undefined
      ? 0
      : dataCentres.indexOf(scope.dataCentre) + 1;
    packed.push(
      target,
      scope.route ?? 0,
      dataCentre,
      STATES.indexOf(state),
      Math.round(remainingMilliseconds),
      ejectionCount,
    );
  }
  return { list: packed, dataCentres };
}

/** Unpacks verdicts. */
export function listVerdicts(packed: PackedVerdicts): types.Verdict[] {
  const list: types.Verdict[] = [];
  for (let index = 0; index < packed.list.length; index += VERDICT_FIELDS) {
    const [target = 0, route = 0, dataCentre = 0, state = 0, remaining = 0, ejectionCount = 0] =
      packed
        .list.slice(index, index + VERDICT_FIELDS);
    list.push({
      target: target as types.ShortId,
      scope: {
        dataCentre: packed.dataCentres[dataCentre - 1],
        route: route === 0 ? undefined : route as types.ShortId,
      },
      state: STATES[state] ?? "out",
      remainingMilliseconds: remaining,
      ejectionCount: Math.max(1, ejectionCount),
    });
  }
  return list;
}
