/**
 * Handshake in which two VMs prove to each other that they have the fleet's secret.
 *
 * The dialling VM sends a hello with a nonce, and the accepting VM responds with its own nonce.
 * Then the dialler sends its proof, and only after checking it the acceptor sends its own. A proof
 * is an HMAC over both nonces, both identities, the offered versions and the role of its author, so
 * that it can neither be replayed on another connection nor reflected to its author.
 */

import * as crypto from "node:crypto";
import type * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import * as zod from "zod";
import type * as errors from "./errors.ts";
import type * as secrets from "./peer_secrets.ts";
import type * as types from "./types.ts";

/** Versions of the link protocol that this VM supports, the preferred one first. */
export const LINK_VERSIONS: readonly number[] = [1];

const NONCE_BYTES = 32;
const PROOF_BYTES = 32;
const MAX_TEXT = 128;
const MAX_VERSIONS = 16;

/** Timeout for each message of the handshake. */
export const HANDSHAKE_TIMEOUT_MILLISECONDS = 2_000;

/** Carries the messages of a handshake. */
export interface HandshakeChannel {
  send(message: unknown): void;
  /** The next message; undefined if none arrived in time or the connection closed. */
  next(timeoutMilliseconds: number): Promise<unknown>;
}

/** Checks whether an incarnation is the latest known one of its VM. */
export type IncarnationCheck = (vm: model.VmId, incarnation: model.Incarnation) => boolean;

const identity = zod.object({
  vm: zod.string().min(1).max(MAX_TEXT).transform((value) => value as model.VmId),
  incarnation: zod.string().min(1).max(MAX_TEXT).transform((value) => value as model.Incarnation),
  dataCentre: zod.string().min(1).max(MAX_TEXT).transform((value) => value as model.DataCentreId),
});

const nonce = zod.instanceof(Uint8Array).refine((value) => value.length === NONCE_BYTES);

const helloSchema = zod.object({
  identity,
  nonce,
  versions: zod.array(zod.number().int()).min(1).max(MAX_VERSIONS),
  /** The VM that the dialler expects at the other end. */
  expected: zod.string().max(MAX_TEXT),
});

const challengeSchema = zod.object({ identity, nonce, version: zod.number().int() });

const proofSchema = zod.object({
  proof: zod.instanceof(Uint8Array).refine((value) => value.length === PROOF_BYTES),
});

/** The data that both proofs cover. */
export interface Transcript {
  readonly dialler: types.VmIdentity;
  readonly acceptor: types.VmIdentity;
  readonly diallerNonce: Uint8Array;
  readonly acceptorNonce: Uint8Array;
  readonly versions: readonly number[];
  readonly version: number;
}

type HandshakeResult<T> = neverthrow.Result<T, errors.HandshakeRefusal>;

/** Computes the proof of one role. */
export function createProof(
  role: "dialler" | "acceptor",
  secret: string,
  transcript: Transcript,
): Uint8Array {
  const hmac = crypto.createHmac("sha256", secret);
  const parts = [
    "hemlockwalk-peer-link",
    role,
    ...listIdentityParts(transcript.dialler),
    ...listIdentityParts(transcript.acceptor),
    transcript.diallerNonce,
    transcript.acceptorNonce,
    transcript.versions.join(","),
    String(transcript.version),
  ];
  for (const part of parts) {
    const bytes = Buffer.from(part as string);
    const length = Buffer.alloc(4);
    length.writeUInt32BE(bytes.length);
    // Each part is prefixed with its length, so that no two transcripts have the same bytes.
    hmac.update(length);
    hmac.update(bytes);
  }
  return new Uint8Array(hmac.digest());
}

/** Runs the handshake on the side that dialled. */
export async function handshakeAsDialler(
  channel: HandshakeChannel,
  self: types.VmIdentity,
  expected: model.VmId,
  secretSource: secrets.PeerSecretSource,
  isLatest: IncarnationCheck,
): Promise<HandshakeResult<types.VmIdentity>> {
  const sharedSecrets = await secretSource.read();
  if (sharedSecrets.isErr()) {
    return neverthrow.err("no_secret");
  }
  const diallerNonce = createNonce();
  channel.send({ identity: self, nonce: diallerNonce, versions: LINK_VERSIONS, expected });
  const challenge = await receive(channel, challengeSchema);
  if (challenge.isErr()) {
    return neverthrow.err(challenge.error);
  }
  const { identity: acceptor, nonce: acceptorNonce, version } = challenge.value;
  if (!LINK_VERSIONS.includes(version)) {
    return neverthrow.err("version");
  }
  if (acceptor.vm !== expected) {
    return neverthrow.err("wrong_peer");
  }
  const transcript = {
    dialler: self,
    acceptor,
    diallerNonce,
    acceptorNonce,
    versions: LINK_VERSIONS,
    version,
  };
  channel.send({ proof: createProof("dialler", sharedSecrets.value[0] ?? "", transcript) });
  const answer = await receive(channel, proofSchema);
  if (answer.isErr()) {
    return neverthrow.err(answer.error);
  }
  return verifyProof(
    "acceptor",
    sharedSecrets.value,
    transcript,
    answer.value.proof,
    acceptor,
    isLatest,
  );
}

/** Runs the handshake on the side that was dialled. */
export async function handshakeAsAcceptor(
  channel: HandshakeChannel,
  self: types.VmIdentity,
  secretSource: secrets.PeerSecretSource,
  isLatest: IncarnationCheck,
): Promise<HandshakeResult<types.VmIdentity>> {
  const hello = await receive(channel, helloSchema);
  if (hello.isErr()) {
    return neverthrow.err(hello.error);
  }
  const sharedSecrets = await secretSource.read();
  if (sharedSecrets.isErr()) {
    return neverthrow.err("no_secret");
  }
  const { identity: dialler, nonce: diallerNonce, versions, expected } = hello.value;
  const version = LINK_VERSIONS.find((candidate) => versions.includes(candidate));
  if (version === undefined) {
    return neverthrow.err("version");
  }
  // A VM that dials itself would pass the handshake with its own secret.
  if (expected !== self.vm || dialler.vm === self.vm) {
    return neverthrow.err("wrong_peer");
  }
  const acceptorNonce = createNonce();
  channel.send({ identity: self, nonce: acceptorNonce, version });
  const answer = await receive(channel, proofSchema);
  if (answer.isErr()) {
    return neverthrow.err(answer.error);
  }
  const transcript = { dialler, acceptor: self, diallerNonce, acceptorNonce, versions, version };
  const { proof } = answer.value;
  const verified = verifyProof(
    "dialler",
    sharedSecrets.value,
    transcript,
    proof,
    dialler,
    isLatest,
  );
  if (verified.isOk()) {
    channel.send({ proof: createProof("acceptor", sharedSecrets.value[0] ?? "", transcript) });
  }
  return verified;
}

function createNonce(): Uint8Array {
  return new Uint8Array(crypto.randomBytes(NONCE_BYTES));
}

function listIdentityParts(vm: types.VmIdentity): string[] {
  return [vm.vm, vm.incarnation, vm.dataCentre];
}

async function receive<Schema extends zod.ZodType>(
  channel: HandshakeChannel,
  schema: Schema,
): Promise<HandshakeResult<zod.output<Schema>>> {
  const message = await channel.next(HANDSHAKE_TIMEOUT_MILLISECONDS);
  if (message === undefined) {
    return neverthrow.err("timeout");
  }
  const checked = schema.safeParse(message);
  return checked.success ? neverthrow.ok(checked.data) : neverthrow.err("malformed");
}

function verifyProof(
  role: "dialler" | "acceptor",
  sharedSecrets: readonly string[],
  transcript: Transcript,
  proof: Uint8Array,
  author: types.VmIdentity,
  isLatest: IncarnationCheck,
): HandshakeResult<types.VmIdentity> {
  const isProven = sharedSecrets.some((secret) =>
    crypto.timingSafeEqual(createProof(role, secret, transcript), proof)
  );
  if (!isProven) {
    return neverthrow.err("wrong_proof");
  }
  if (!isLatest(author.vm, author.incarnation)) {
    return neverthrow.err("stale_incarnation");
  }
  return neverthrow.ok(author);
}
