/**
 * Peer links over WebSockets: at most one in use for each pair of VMs, opened on demand.
 */

import type * as net from "node:net";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import * as ws from "ws";
import type * as errors from "./errors.ts";
import type * as counters from "./peer_counters.ts";
import * as handshake from "./peer_handshake.ts";
import * as links from "./peer_link.ts";
import * as messaging from "./peer_messaging.ts";
import type * as secrets from "./peer_secrets.ts";
import * as sockets from "./peer_socket.ts";
import type * as types from "./types.ts";

/** A peer that has so many bytes waiting gets no more frames until it takes some. */
const MAX_QUEUED_BYTES = 2 * 1_048_576;

/** Bytes that wait while the first connection to a peer is being opened. */
const MAX_WAITING_BYTES = 262_144;

const CONNECT_TIMEOUT_MILLISECONDS = 2_000;
const MIN_BACKOFF_MILLISECONDS = 100;
const MAX_BACKOFF_MILLISECONDS = 3_000;

/** Connections that may be in the handshake at once, before any of them is proven. */
const MAX_ACCEPTING = 256;

/** A second link between the same VMs stays open so long for what is under way on it. */
const REPLACED_GRACE_MILLISECONDS = 1_000;

/** What a network needs to know about peers. */
export interface PeerDirectory {
  /** Address of a VM's peer listener; undefined when it is not known. */
  findAddress(vm: model.VmId): string | undefined;
  /** Whether no later incarnation of the VM is known. */
  isLatest(vm: model.VmId, incarnation: model.Incarnation): boolean;
}

/** Settings of a network. */
export interface PeerNetworkOptions {
  /** IP number and port of the listener; port 0 takes a free one. */
  readonly address: string;
  readonly secrets: secrets.PeerSecretSource;
  readonly counters: counters.PeerCounters;
  readonly logger: kernel.PartLogger;
}

interface Peer {
  link: links.PeerLink | undefined;
  hadLink: boolean;
  isDialling: boolean;
  failures: number;
  retryAt: number;
  waiting: Buffer[];
  waitingBytes: number;
}

/** Messages between VMs over WebSockets. */
export class WebSocketPeerNetwork extends messaging.PeerMessaging implements links.LinkOwner {
  readonly #options: PeerNetworkOptions;
  readonly #peers = new Map<model.VmId, Peer>();
  readonly #links = new Set<links.PeerLink>();
  readonly #tasks = new Set<Promise<void>>();
  readonly #unproven = new Set<sockets.PeerSocket>();
  #directory: PeerDirectory | undefined;
  #server: ws.WebSocketServer | undefined;
  #isStopped = false;

  constructor(self: types.VmIdentity, options: PeerNetworkOptions) {
    super(self);
    this.#options = options;
  }

  /** The port that the listener is bound to. */
  get port(): number {
    const address = this.#server?.address() as net.AddressInfo | undefined;
    return kernel.getDefined(address, "The network has started.").port;
  }

  /** Number of links that are open. */
  get openLinks(): number {
    return this.#links.size;
  }

  /** Sets where the network looks peers up. Called once, before the start. */
  useDirectory(directory: PeerDirectory): void {
    this.#directory = directory;
  }

  async start(): Promise<void> {
    const place = kernel.getDefined(
      model.splitSocketAddress(this.#options.address),
      "Settings hold checked addresses.",
    );
    const server = new ws.WebSocketServer({
      host: place.host,
      port: place.port,
      maxPayload: sockets.MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    this.#server = server;
    await new Promise<void>((resolve, reject) => {
      server.once("listening", resolve);
      server.once("error", reject);
    });
    server.on("error", (error) => {
      this.#options.logger.error("The peer listener failed.", { detail: error.message });
    });
    server.on("connection", (socket) => this.#runTask(this.#accept(socket)));
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    this.#server?.close();
    for (const link of this.#links) {
      link.end("stopped");
    }
    for (const socket of this.#unproven) {
      socket.terminate();
    }
    this.failCalls("The network has stopped.");
    await Promise.all(this.#tasks);
  }

  /** Ends the links of incarnations that the directory no longer takes for the latest. */
  dropStaleLinks(): void {
    for (const link of this.#links) {
      if (!this.#isLatest(link.peer.vm, link.peer.incarnation)) {
        link.end("stale_incarnation");
      }
    }
  }

  onFrame(link: links.PeerLink, frame: unknown): void {
    if (!this.#isLatest(link.peer.vm, link.peer.incarnation)) {
      link.end("stale_incarnation");
      return;
    }
    this.receive(link.peer, frame);
  }

  protected override reportDrop(reason: Parameters<messaging.DropListener>[0]): void {
    this.#options.counters.drops.inc({ reason });
  }

  protected transmit(
    to: model.VmId,
    frame: messaging.Frame,
  ): neverthrow.Result<void, errors.PeerError> {
    if (this.#isStopped) {
      return this.#refuse("not_connected", "The network has stopped.");
    }
    const bytes = sockets.encodeMessage(links.encodeFrame(frame));
    if (bytes.length > sockets.MAX_MESSAGE_BYTES) {
      return this.#refuse("too_large", `The frame has ${bytes.length} bytes.`);
    }
    const peer = this.#getPeer(to);
    if (peer.link?.isOpen !== true) {
      return this.#dialFor(to, peer, bytes);
    }
    if (peer.link.queuedBytes > MAX_QUEUED_BYTES) {
      return this.#refuse("queue_full", to);
    }
    peer.link.sendEncoded(bytes);
    return neverthrow.ok();
  }

  #refuse(
    kind: errors.PeerError["kind"],
    detail: string,
  ): neverthrow.Result<void, errors.PeerError> {
    this.#options.counters.drops.inc({ reason: kind });
    return neverthrow.err({ kind, detail });
  }

  #dialFor(
    to: model.VmId,
    peer: Peer,
    bytes: Buffer,
  ): neverthrow.Result<void, errors.PeerError> {
    const address = this.#directory?.findAddress(to);
    if (address === undefined || to === this.self.vm) {
      return this.#refuse("unknown_peer", to);
    }
    if (!peer.isDialling && kernel.getMonotonicMilliseconds() < peer.retryAt) {
      return this.#refuse("not_connected", to);
    }
    if (peer.waitingBytes + bytes.length > MAX_WAITING_BYTES) {
      return this.#refuse("queue_full", to);
    }
    peer.waiting.push(bytes);
    peer.waitingBytes += bytes.length;
    if (!peer.isDialling) {
      peer.isDialling = true;
      this.#runTask(this.#dial(to, peer, address));
    }
    return neverthrow.ok();
  }

  /** The task of a connection that this VM opens. */
  async #dial(to: model.VmId, peer: Peer, address: string): Promise<void> {
    const socket = await this.#connect(address);
    if (socket === undefined) {
      this.#options.counters.dialsFailed.inc();
      this.#delayNextDial(to, peer);
      return;
    }
    const greeted = await this.#greet(
      socket,
      handshake.greetAsDialler(
        socket,
        this.self,
        to,
        this.#options.secrets,
        (vm, incarnation) => this.#isLatest(vm, incarnation),
      ),
    );
    if (greeted === undefined) {
      this.#delayNextDial(to, peer);
      return;
    }
    peer.isDialling = false;
    await this.#serve(new links.PeerLink(greeted, true, socket, this));
  }

  /** The task of a connection that another VM opened. */
  async #accept(webSocket: ws.WebSocket): Promise<void> {
    const socket = new sockets.PeerSocket(webSocket, this.#options.counters);
    if (this.#unproven.size >= MAX_ACCEPTING || this.#isStopped) {
      this.#options.counters.drops.inc({ reason: "overloaded" });
      socket.terminate();
      return;
    }
    const greeted = await this.#greet(
      socket,
      handshake.greetAsAcceptor(
        socket,
        this.self,
        this.#options.secrets,
        (vm, incarnation) => this.#isLatest(vm, incarnation),
      ),
    );
    if (greeted !== undefined) {
      await this.#serve(new links.PeerLink(greeted, false, socket, this));
    }
  }

  /** Links leave from the IP number that the settings give, so that firewalls can name it. */
  #getLocalAddress(): { readonly localAddress?: string } {
    const host = model.splitSocketAddress(this.#options.address)?.host;
    const isAnyAddress = host === undefined || host === "0.0.0.0" || host === "::";
    return isAnyAddress ? {} : { localAddress: host };
  }

  async #connect(address: string): Promise<sockets.PeerSocket | undefined> {
    const webSocket = new ws.WebSocket(`ws://${address}`, {
      handshakeTimeout: CONNECT_TIMEOUT_MILLISECONDS,
      maxPayload: sockets.MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
      ...this.#getLocalAddress(),
    });
    const socket = new sockets.PeerSocket(webSocket, this.#options.counters);
    const isOpen = await new Promise<boolean>((resolve) => {
      webSocket.once("open", () => resolve(true));
      void socket.closed.then(() => resolve(false));
    });
    return isOpen ? socket : undefined;
  }

  async #greet(
    socket: sockets.PeerSocket,
    greeting: Promise<neverthrow.Result<types.VmIdentity, errors.HandshakeRefusal>>,
  ): Promise<types.VmIdentity | undefined> {
    this.#unproven.add(socket);
    const greeted = await greeting;
    this.#unproven.delete(socket);
    if (greeted.isOk() && !this.#isStopped) {
      return greeted.value;
    }
    socket.terminate();
    if (greeted.isErr() && !this.#isStopped) {
      const reason = socket.isClosed && greeted.error === "timeout" ? "closed" : greeted.error;
      this.#options.counters.handshakesRefused.inc({ reason });
      this.#options.logger.warn("A connection did not become a link.", { reason });
    }
    return undefined;
  }

  async #serve(link: links.PeerLink): Promise<void> {
    const { counters: peerCounters } = this.#options;
    const peer = this.#getPeer(link.peer.vm);
    this.#links.add(link);
    peerCounters.linksOpened.inc({
      role: link.isDialled ? "dialler" : "acceptor",
      again: String(peer.hadLink),
    });
    this.#adopt(peer, link);
    const end = await link.run();
    this.#links.delete(link);
    peerCounters.linksEnded.inc({ reason: end });
    if (peer.link === link) {
      peer.link = undefined;
      this.failCalls("The link ended.", link.peer.vm);
      this.#forgetUnknown(link.peer.vm, peer);
    }
  }

  /** Keeps the table of peers from growing with every VM that ever was. */
  #forgetUnknown(vm: model.VmId, peer: Peer): void {
    const isIdle = peer.link === undefined && !peer.isDialling;
    if (isIdle && this.#directory?.findAddress(vm) === undefined) {
      this.#peers.delete(vm);
    }
  }

  /** Makes a new link the one in use, or leaves the present one in use. Both ends choose alike. */
  #adopt(peer: Peer, link: links.PeerLink): void {
    const present = peer.link;
    peer.hadLink = true;
    peer.failures = 0;
    peer.retryAt = 0;
    if (present?.isOpen === true && this.#isPreferred(present, link)) {
      this.#endReplaced(link);
    } else {
      peer.link = link;
      if (present !== undefined) {
        this.#endReplaced(present);
      }
    }
    this.#flush(peer);
  }

  #isPreferred(present: links.PeerLink, added: links.PeerLink): boolean {
    if (present.peer.incarnation !== added.peer.incarnation) {
      return false;
    }
    // Of two VMs that dialled at once, the connection of the lower identifier stays.
    const isLower = this.self.vm < present.peer.vm;
    return present.isDialled !== added.isDialled && present.isDialled === isLower;
  }

  #endReplaced(link: links.PeerLink): void {
    const timer = setTimeout(() => link.end("replaced"), REPLACED_GRACE_MILLISECONDS);
    timer.unref?.();
  }

  #flush(peer: Peer): void {
    for (const bytes of peer.waiting.splice(0)) {
      peer.link?.sendEncoded(bytes);
    }
    peer.waitingBytes = 0;
  }

  #delayNextDial(to: model.VmId, peer: Peer): void {
    peer.isDialling = false;
    const ceiling = Math.min(
      MAX_BACKOFF_MILLISECONDS,
      MIN_BACKOFF_MILLISECONDS * 2 ** Math.min(peer.failures, 10),
    );
    peer.failures++;
    // Half of the delay is random, so that VMs that lost a peer together do not return together.
    const delay = ceiling * (0.5 + Math.random() / 2);
    peer.retryAt = kernel.getMonotonicMilliseconds() + delay;
    if (peer.link === undefined) {
      this.#options.counters.drops.inc({ reason: "not_connected" }, peer.waiting.length);
      peer.waiting.length = 0;
      peer.waitingBytes = 0;
      this.failCalls("The peer cannot be reached.", to);
      this.#forgetUnknown(to, peer);
    }
  }

  #getPeer(vm: model.VmId): Peer {
    let peer = this.#peers.get(vm);
    if (peer === undefined) {
      peer = {
        link: undefined,
        hadLink: false,
        isDialling: false,
        failures: 0,
        retryAt: 0,
        waiting: [],
        waitingBytes: 0,
      };
      this.#peers.set(vm, peer);
    }
    return peer;
  }

  #isLatest(vm: model.VmId, incarnation: model.Incarnation): boolean {
    return this.#directory?.isLatest(vm, incarnation) ?? true;
  }

  #runTask(task: Promise<void>): void {
    const tracked = task.finally(() => this.#tasks.delete(tracked));
    this.#tasks.add(tracked);
  }
}
