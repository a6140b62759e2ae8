/**
 * Handshakes with a correct, wrong, replayed or reflected proof, and during a rotation of the
 * secret.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import * as handshake from "../src/peer_handshake.ts";
import * as secrets from "../src/peer_secrets.ts";
import type * as types from "../src/types.ts";

const OLD_SECRET = "o".repeat(40);
const NEW_SECRET = "n".repeat(40);

function createIdentity(name: string): types.VmIdentity {
  return {
    vm: model.createVmId(name),
    incarnation: model.createIncarnation(),
    dataCentre: model.createDataCentreId("north-1"),
  };
}

function createSource(...known: string[]): secrets.PeerSecretSource {
  return { read: () => Promise.resolve(neverthrow.ok(known)) };
}

/** One end of an in-memory connection that records the messages it sent. */
class RecordingChannel implements handshake.HandshakeChannel {
  readonly sent: unknown[] = [];
  readonly #unread: unknown[] = [];
  #reader: ((message: unknown) => void) | undefined;
  other: RecordingChannel | undefined;

  send(message: unknown): void {
    this.sent.push(message);
    this.other?.deliver(message);
  }

  deliver(message: unknown): void {
    if (this.#reader === undefined) {
      this.#unread.push(message);
      return;
    }
    this.#reader(message);
    this.#reader = undefined;
  }

  next(): Promise<unknown> {
    if (this.#unread.length > 0) {
      return Promise.resolve(this.#unread.shift());
    }
    return new Promise((resolve) => {
      this.#reader = resolve;
    });
  }
}

function createChannelPair(): [RecordingChannel, RecordingChannel] {
  const left = new RecordingChannel();
  const right = new RecordingChannel();
  left.other = right;
  right.other = left;
  return [left, right];
}

const acceptAny = () => true;

async function runHandshake(diallerSecrets: string[], acceptorSecrets: string[]) {
  const dialler = createIdentity("vm-1");
  const acceptor = createIdentity("vm-2");
  const [left, right] = createChannelPair();
  const dialling = handshake.handshakeAsDialler(
    left,
    dialler,
    acceptor.vm,
    createSource(...diallerSecrets),
    acceptAny,
  );
  const accepted = await handshake.handshakeAsAcceptor(
    right,
    acceptor,
    createSource(...acceptorSecrets),
    acceptAny,
  );
  if (accepted.isErr()) {
    left.deliver(undefined);
  }
  return { dialled: await dialling, accepted, left, right, dialler, acceptor };
}

test.describe("peer handshake", () => {
  test.it("accepts the same secret, and either secret during a rotation", async () => {
    const same = await runHandshake([NEW_SECRET], [NEW_SECRET]);
    assert.deepEqual(same.dialled._unsafeUnwrap(), same.acceptor);
    assert.deepEqual(same.accepted._unsafeUnwrap(), same.dialler);
    const rotating = await runHandshake([NEW_SECRET, OLD_SECRET], [OLD_SECRET, NEW_SECRET]);
    assert.ok(rotating.dialled.isOk() && rotating.accepted.isOk());
  });

  test.it("refuses a wrong secret before the acceptor sends a proof", async () => {
    const wrong = await runHandshake([OLD_SECRET], [NEW_SECRET]);
    assert.equal(wrong.accepted._unsafeUnwrapErr(), "wrong_proof");
    assert.equal(wrong.dialled._unsafeUnwrapErr(), "timeout");
    assert.equal(wrong.right.sent.length, 1);
  });

  test.it("refuses a recorded handshake on another connection", async () => {
    const recorded = await runHandshake([NEW_SECRET], [NEW_SECRET]);
    const [attacker, victim] = createChannelPair();
    const accepting = handshake.handshakeAsAcceptor(
      victim,
      recorded.acceptor,
      createSource(NEW_SECRET),
      acceptAny,
    );
    for (const message of recorded.left.sent) {
      attacker.send(message);
    }
    assert.equal((await accepting)._unsafeUnwrapErr(), "wrong_proof");
  });

  test.it("refuses its own proof reflected by an acceptor without the secret", async () => {
    const dialler = createIdentity("vm-1");
    const impostor = createIdentity("vm-2");
    const [victim, attacker] = createChannelPair();
    const dialling = handshake.handshakeAsDialler(
      victim,
      dialler,
      impostor.vm,
      createSource(NEW_SECRET),
      acceptAny,
    );
    await attacker.next();
    attacker.send({ identity: impostor, nonce: new Uint8Array(32), version: 1 });
    attacker.send(await attacker.next());
    assert.equal((await dialling)._unsafeUnwrapErr(), "wrong_proof");
  });

  test.it("accepts only files with one or two secrets of sufficient length", () => {
    assert.ok(secrets.parseSecrets(`${OLD_SECRET}\n${NEW_SECRET}\n`).isOk());
    assert.ok(secrets.parseSecrets("short\n").isErr());
    assert.ok(secrets.parseSecrets("").isErr());
    assert.ok(secrets.parseSecrets([OLD_SECRET, NEW_SECRET, OLD_SECRET].join("\n")).isErr());
  });
});
