/**
 * Proofs of the shared secret: wrong, replayed, reflected, and during a rotation.
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

/** One end of a connection in memory that records what it sent. */
class RecordingChannel implements handshake.HandshakeChannel {
  readonly sent: unknown[] = [];
  readonly #arrived: unknown[] = [];
  #taker: ((message: unknown) => void) | undefined;
  other: RecordingChannel | undefined;

  send(message: unknown): void {
    this.sent.push(message);
    this.other?.deliver(message);
  }

  deliver(message: unknown): void {
    if (this.#taker === undefined) {
      this.#arrived.push(message);
      return;
    }
    this.#taker(message);
    this.#taker = undefined;
  }

  next(): Promise<unknown> {
    if (this.#arrived.length > 0) {
      return Promise.resolve(this.#arrived.shift());
    }
    return new Promise((resolve) => {
      this.#taker = resolve;
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

async function greet(diallerSecrets: string[], acceptorSecrets: string[]) {
  const dialler = createIdentity("vm-1");
  const acceptor = createIdentity("vm-2");
  const [left, right] = createChannelPair();
  const dialling = handshake.greetAsDialler(
    left,
    dialler,
    acceptor.vm,
    createSource(...diallerSecrets),
    acceptAny,
  );
  const accepted = await handshake.greetAsAcceptor(
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
  test.it("accepts the same secret, and either one during a rotation", async () => {
    const same = await greet([NEW_SECRET], [NEW_SECRET]);
    assert.deepEqual(same.dialled._unsafeUnwrap(), same.acceptor);
    assert.deepEqual(same.accepted._unsafeUnwrap(), same.dialler);
    const rotating = await greet([NEW_SECRET, OLD_SECRET], [OLD_SECRET, NEW_SECRET]);
    assert.ok(rotating.dialled.isOk() && rotating.accepted.isOk());
  });

  test.it("refuses a wrong secret before it proves anything itself", async () => {
    const wrong = await greet([OLD_SECRET], [NEW_SECRET]);
    assert.equal(wrong.accepted._unsafeUnwrapErr(), "wrong_proof");
    assert.equal(wrong.dialled._unsafeUnwrapErr(), "timeout");
    assert.equal(wrong.right.sent.length, 1);
  });

  test.it("refuses a recorded handshake on another connection", async () => {
    const recorded = await greet([NEW_SECRET], [NEW_SECRET]);
    const [attacker, victim] = createChannelPair();
    const accepting = handshake.greetAsAcceptor(
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

  test.it("refuses its own proof sent back by an acceptor without the secret", async () => {
    const dialler = createIdentity("vm-1");
    const impostor = createIdentity("vm-2");
    const [victim, attacker] = createChannelPair();
    const dialling = handshake.greetAsDialler(
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

  test.it("reads one or two long secrets and nothing else", () => {
    assert.ok(secrets.parseSecrets(`${OLD_SECRET}\n${NEW_SECRET}\n`).isOk());
    assert.ok(secrets.parseSecrets("short\n").isErr());
    assert.ok(secrets.parseSecrets("").isErr());
    assert.ok(secrets.parseSecrets([OLD_SECRET, NEW_SECRET, OLD_SECRET].join("\n")).isErr());
  });
});
