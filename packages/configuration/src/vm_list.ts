/**
 * The platform's list of VMs: read by few VMs, passed on to the others.
 */

import type * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as zod from "zod";
import type * as counting from "./counters.ts";
import type * as neighbourhood from "./neighbours.ts";
import * as peerMessages from "./peer_messages.ts";
import type * as readerElection from "./reader_election.ts";
import type * as types from "./types.ts";

const READ_TIMEOUT_MILLISECONDS = 2_000;
const WATCH_WAIT_MILLISECONDS = 2_000;
const RETRY_MILLISECONDS = 2_000;
const IDLE_INTERVAL_MILLISECONDS = 500;

/** A VM that is no reader reads the list itself as rarely as this, in case nobody passes it on. */
const FALLBACK_INTERVAL_MILLISECONDS = 60_000;

/** Key of the platform's value that holds the list of VMs. */
export const VMS_KEY = "vms";

const listedVmSchema = zod.strictObject({
  vm: model.identifier.transform(model.createVmId),
  address: model.socketAddress,
  dataCentre: model.identifier.transform(model.createDataCentreId),
  state: zod.enum(["live", "leaving"]).default("live"),
});

const listSchema = zod.strictObject({ vms: zod.array(listedVmSchema).max(10_000) });

const listAnswerSchema = zod.strictObject({
  version: zod.number().int().min(0),
  vms: zod.array(listedVmSchema).max(10_000),
});

/** What the list works with; `relay` is undefined on a VM without peers. */
export interface VmListParts {
  readonly reader: types.PlatformReader;
  readonly election: readerElection.ReaderElection;
  readonly counters: counting.ConfigurationCounters;
  readonly logger: kernel.PartLogger;
  readonly relay: {
    readonly network: fleet.PeerNetwork;
    readonly caller: peerMessages.PeerCaller;
    readonly neighbours: neighbourhood.Neighbours;
  } | undefined;
}

/** Follows the platform's list of VMs. Its version only rises. */
export class PlatformVmList implements fleet.VmListSource {
  readonly #parts: VmListParts;
  readonly #listeners: ((vms: readonly fleet.ListedVm[]) => void)[] = [];
  #version = 0;
  #vms: readonly fleet.ListedVm[] = [];
  #nextRead = Number.NEGATIVE_INFINITY;
  #isAsking = false;

  constructor(parts: VmListParts) {
    this.#parts = parts;
  }

  /** Version of the list; 0 before the first. */
  get version(): number {
    return this.#version;
  }

  onList(listener: (vms: readonly fleet.ListedVm[]) => void): void {
    this.#listeners.push(listener);
    if (this.#version > 0) {
      listener(this.#vms);
    }
  }

  /** Answers peers from now on. */
  listen(): void {
    this.#parts.relay?.network.handle(
      peerMessages.VMS_CHANNEL,
      () => ({ version: this.#version, vms: this.#vms }),
    );
  }

  /** Follows the list until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#parts.election.isReader) {
        await this.#watch(signal);
      } else {
        await this.#readRarely(signal);
      }
    }
  }

  /** Fetches the list of a peer that has a newer one. */
  async hear(peer: model.VmId, version: number): Promise<void> {
    const { relay } = this.#parts;
    if (relay === undefined || version <= this.#version || this.#isAsking) {
      return;
    }
    this.#isAsking = true;
    const answer = await relay.caller.call(
      peer,
      peerMessages.VMS_CHANNEL,
      null,
      listAnswerSchema,
    );
    this.#isAsking = false;
    if (answer.isOk()) {
      this.#accept(answer.value.version, answer.value.vms);
    }
  }

  async #watch(signal: AbortSignal): Promise<void> {
    const { reader } = this.#parts;
    const value = await reader.watch(VMS_KEY, this.#version, WATCH_WAIT_MILLISECONDS, signal);
    if (value.isOk()) {
      this.#read(value.value);
    }
    // An older replica may answer at once with an older version; it must not be asked without pause.
    const isQuiet = value.isErr() && value.error.kind === "absent";
    if (!isQuiet) {
      await kernel.sleep(RETRY_MILLISECONDS * (0.5 + Math.random()), signal);
    }
  }

  async #readRarely(signal: AbortSignal): Promise<void> {
    if (kernel.getMonotonicMilliseconds() >= this.#nextRead) {
      const { reader } = this.#parts;
      const value = await reader.get(VMS_KEY, READ_TIMEOUT_MILLISECONDS, signal);
      if (value.isOk()) {
        this.#read(value.value);
      }
      const interval = FALLBACK_INTERVAL_MILLISECONDS * (0.5 + Math.random());
      this.#nextRead = kernel.getMonotonicMilliseconds() + interval;
    }
    await kernel.sleep(IDLE_INTERVAL_MILLISECONDS, signal);
  }

  #read(value: types.PlatformValue): void {
    const list = model.parseDocument(value.text, listSchema);
    if (list.isOk()) {
      this.#accept(value.version, list.value.vms);
      return;
    }
    for (const diagnostic of list.error) {
      const finding = model.formatDiagnostic(VMS_KEY, diagnostic);
      this.#parts.logger.error("The list of VMs is refused.", { finding });
    }
  }

  #accept(version: number, vms: readonly fleet.ListedVm[]): void {
    if (version <= this.#version) {
      return;
    }
    this.#version = version;
    this.#vms = vms;
    for (const listener of this.#listeners) {
      listener(vms);
    }
  }
}

/** The name under which the list of VMs is found. */
export const VM_LIST_SOURCE = kernel.createServiceName<fleet.VmListSource>("vm-list-source");
