/**
 * An in-memory peer network for tests: several VMs in one process. Each direction of a link can be
 * cut, delayed, or set to duplicate frames, and each VM can be paused.
 */

import type * as model from "@hemlockwalk/model";
import * as msgpackr from "msgpackr";
import * as neverthrow from "neverthrow";
import type * as errors from "../errors.ts";
import * as messaging from "../peer_messaging.ts";
import type * as types from "../types.ts";

/** How frames are delivered from one VM to another. Each direction has its own settings. */
export interface LinkBehaviour {
  /** Frames are lost, and the sender receives no error. */
  cut: boolean;
  delayMilliseconds: number;
  /** Number of times that each frame is delivered. */
  copies: number;
}

/** Connects the VMs of one test. */
export class MemoryHub {
  readonly #networks = new Map<model.VmId, MemoryPeerNetwork>();
  readonly #behaviours = new Map<string, LinkBehaviour>();
  readonly #held = new Map<model.VmId, (() => void)[]>();
  /** Frames sent so far. */
  frames = 0;
  /** Bytes sent so far, as encoded by msgpackr. */
  bytes = 0;

  /** Adds a VM. It replaces an earlier network with the same identifier. */
  connect(identity: types.VmIdentity): MemoryPeerNetwork {
    const network = new MemoryPeerNetwork(this, identity);
    this.#networks.set(identity.vm, network);
    return network;
  }

  /** Removes a VM. Frames sent to it are lost. */
  disconnect(vm: model.VmId): void {
    this.#networks.delete(vm);
  }

  /** Settings of one direction of a link. The caller may change them. */
  getLink(from: model.VmId, to: model.VmId): LinkBehaviour {
    const name = `${from} ${to}`;
    let behaviour = this.#behaviours.get(name);
    if (behaviour === undefined) {
      behaviour = { cut: false, delayMilliseconds: 1, copies: 1 };
      this.#behaviours.set(name, behaviour);
    }
    return behaviour;
  }

  /** Holds back all frames to a VM, as if its process were paused. */
  pause(vm: model.VmId): void {
    if (!this.#held.has(vm)) {
      this.#held.set(vm, []);
    }
  }

  /** Delivers the frames that were held back. */
  resume(vm: model.VmId): void {
    const held = this.#held.get(vm) ?? [];
    this.#held.delete(vm);
    for (const deliver of held) {
      deliver();
    }
  }

  /** Delivers a frame for a network. */
  transmit(from: types.VmIdentity, to: model.VmId, frame: messaging.Frame): void {
    const bytes = msgpackr.pack(frame);
    this.frames++;
    this.bytes += bytes.length;
    const link = this.getLink(from.vm, to);
    if (link.cut) {
      return;
    }
    for (let copy = 0; copy < link.copies; copy++) {
      setTimeout(() => this.#deliver(from, to, bytes), link.delayMilliseconds);
    }
  }

  #deliver(from: types.VmIdentity, to: model.VmId, bytes: Buffer): void {
    const deliver = () => {
      const frame: unknown = msgpackr.unpack(bytes);
      this.#networks.get(to)?.deliver(from, frame);
    };
    const held = this.#held.get(to);
    if (held === undefined) {
      deliver();
    } else {
      held.push(deliver);
    }
  }
}

/** The peer network of one VM of a test. */
export class MemoryPeerNetwork extends messaging.PeerMessaging {
  readonly #hub: MemoryHub;

  constructor(hub: MemoryHub, self: types.VmIdentity) {
    super(self);
    this.#hub = hub;
  }

  /** Receives a frame from the hub. */
  deliver(from: types.VmIdentity, frame: unknown): void {
    this.receive(from, frame);
  }

  stop(): void {
    this.failCalls("The network has stopped.");
  }

  protected transmit(
    to: model.VmId,
    frame: messaging.Frame,
  ): neverthrow.Result<void, errors.PeerError> {
    this.#hub.transmit(this.self, to, frame);
    return neverthrow.ok();
  }
}

/** A membership whose members are set by the test. */
export class FixedMembership implements types.Membership {
  readonly self: types.VmIdentity;
  readonly #listeners: (() => void)[] = [];
  #members: readonly types.Member[];

  constructor(self: types.VmIdentity, members: readonly types.Member[]) {
    this.self = self;
    this.#members = members;
  }

  listMembers(): readonly types.Member[] {
    return this.#members;
  }

  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Replaces the members and calls the listeners. */
  set(members: readonly types.Member[]): void {
    this.#members = members;
    for (const listener of this.#listeners) {
      listener();
    }
  }
}
