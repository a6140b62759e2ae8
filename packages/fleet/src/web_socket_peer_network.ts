/**
 * Peer links over WebSockets. Each pair of VMs uses at most one link, which is opened on demand.
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

/** No more frames are sent to a peer while more than this many bytes are queued for it. */
const MAX_QUEUED_BYTES = 2 * 1_048_576;

/** Maximum number of bytes queued for a peer while a connection to it is being opened. */
const MAX_WAITING_BYTES = 262_144;

const CONNECT_TIMEOUT_MILLISECONDS = 2_000;
const MIN_BACKOFF_MILLISECONDS = 100;
const MAX_BACKOFF_MILLISECONDS = 3_000;

/**
 * Maximum number of connections in the handshake before another one is refused. Each
 * unauthenticated client may make this VM buffer one message of the maximum size.
 */
const MAX_PENDING_HANDSHAKES = 32;

/** How long a replaced link stays open for frames that are still in transit on it. */
const REPLACED_LINK_GRACE_MILLISECONDS = 1_000;

/** Looks up the addresses and incarnations of peers. */
export interface PeerDirectory {
  /** Address of a VM's peer listener; undefined if it is not known. */
  findAddress(vm: model.VmId): string | undefined;
  /** Whether no later incarnation of the VM is known. */
  isLatest(vm: model.VmId, incarnation: model.Incarnation): boolean;
}

/** Settings of a network. */
export interface PeerNetworkOptions {
  /** IP address and port of the listener; port 0 selects a free one. */
  readonly address: string;
  readonly secrets: secrets.PeerSecretSource;
  readonly counters: counters.PeerCounters;
  readonly logger: kernel.ComponentLogger;
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
  readonly #pendingHandshakes = new Set<sockets.PeerSocket>();
  #directory: PeerDirectory | undefined;
  #server: ws.WebSocketServer | undefined;
  #isStopped = false;

  constructor(self: types.VmIdentity, options: PeerNetworkOptions) {
    super(self);
    this.#options = options;
  }

  /** Port that the listener is bound to. */
  get port(): number {
    const address = this.#server?.address() as net.AddressInfo | undefined;
    return kernel.getDefined(address, "The network has started.").port;
  }

  /** Number of open links. */
  get openLinks(): number {
    return this.#links.size;
  }

  /** Sets the directory in which the network looks up peers. Called once, before the start. */
  useDirectory(directory: PeerDirectory): void {
    this.#directory = directory;
  }

  async start(): Promise<void> {
    const address = kernel.getDefined(
      model.splitSocketAddress(this.#options.address),
      "Addresses in settings are validated.",
    );
    const server = new ws.WebSocketServer({
      host: address.host,
      port: address.port,
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
    for (const socket of this.#pendingHandshakes) {
      socket.terminate();
    }
    this.failCalls("The network has stopped.");
    await Promise.all(this.#tasks);
  }

  /** Ends the links to incarnations that are no longer the latest according to the directory. */
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
    this.#options.counters.sentBytes.inc({ part: messaging.getPart(frame.channel) }, bytes.length);
    const peer = this.#getPeer(to);
    if (peer.link?.isOpen !== true) {
      return this.#queueForDial(to, peer, bytes);
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

  #queueForDial(
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

  /** Opens a connection to a peer and operates the link on it. */
  async #dial(to: model.VmId, peer: Peer, address: string): Promise<void> {
    const socket = await this.#connect(address);
    if (socket === undefined) {
      this.#options.counters.dialsFailed.inc();
      this.#delayNextDial(to, peer);
      return;
    }
    const peerIdentity = await this.#completeHandshake(
      socket,
      handshake.handshakeAsDialler(
        socket,
        this.self,
        to,
        this.#options.secrets,
        (vm, incarnation) => this.#isLatest(vm, incarnation),
      ),
    );
    if (peerIdentity === undefined) {
      this.#delayNextDial(to, peer);
      return;
    }
    peer.isDialling = false;
    await this.#runLink(new links.PeerLink(peerIdentity, true, socket, this));
  }

  /** Authenticates a connection that another VM opened and operates the link on it. */
  async #accept(webSocket: ws.WebSocket): Promise<void> {
    const socket = new sockets.PeerSocket(webSocket, this.#options.counters);
    if (this.#pendingHandshakes.size >= MAX_PENDING_HANDSHAKES || this.#isStopped) {
      this.#options.counters.drops.inc({ reason: "overloaded" });
      socket.terminate();
      return;
    }
    const peerIdentity = await this.#completeHandshake(
      socket,
      handshake.handshakeAsAcceptor(
        socket,
        this.self,
        this.#options.secrets,
        (vm, incarnation) => this.#isLatest(vm, incarnation),
      ),
    );
    if (peerIdentity !== undefined) {
      await this.#runLink(new links.PeerLink(peerIdentity, false, socket, this));
    }
  }

  /** Outgoing links use the IP address from the settings, so that firewall rules can match it. */
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

  async #completeHandshake(
    socket: sockets.PeerSocket,
    pendingResult: Promise<neverthrow.Result<types.VmIdentity, errors.HandshakeRefusal>>,
  ): Promise<types.VmIdentity | undefined> {
    this.#pendingHandshakes.add(socket);
    const result = await pendingResult;
    this.#pendingHandshakes.delete(socket);
    if (result.isOk() && !this.#isStopped) {
      return result.value;
    }
    socket.terminate();
    if (result.isErr() && !this.#isStopped) {
      const reason = socket.isClosed && result.error === "timeout" ? "closed" : result.error;
      this.#options.counters.handshakesRefused.inc({ reason });
      this.#options.logger.warn("Peer handshake failed.", { reason });
    }
    return undefined;
  }

  async #runLink(link: links.PeerLink): Promise<void> {
    const { counters: peerCounters } = this.#options;
    const peer = this.#getPeer(link.peer.vm);
    this.#links.add(link);
    peerCounters.linksOpened.inc({
      role: link.isDialled ? "dialler" : "acceptor",
      again: String(peer.hadLink),
    });
    this.#selectLink(peer, link);
    const end = await link.run();
    this.#links.delete(link);
    peerCounters.linksEnded.inc({ reason: end });
    if (peer.link === link) {
      peer.link = undefined;
      this.failCalls("The link ended.", link.peer.vm);
      this.#removeUnknownPeer(link.peer.vm, peer);
    }
  }

  /** Removes a peer that has left the fleet, so that the table of peers does not grow forever. */
  #removeUnknownPeer(vm: model.VmId, peer: Peer): void {
    const isIdle = peer.link === undefined && !peer.isDialling;
    if (isIdle && this.#directory?.findAddress(vm) === undefined) {
      this.#peers.delete(vm);
    }
  }

  /** Selects the new link or keeps the current one. Both ends make the same choice. */
  #selectLink(peer: Peer, link: links.PeerLink): void {
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
    // If two VMs dialled each other at once, the link opened by the lower identifier is kept.
    const isLower = this.self.vm < present.peer.vm;
    return present.isDialled !== added.isDialled && present.isDialled === isLower;
  }

  #endReplaced(link: links.PeerLink): void {
    const timer = setTimeout(() => link.end("replaced"), REPLACED_LINK_GRACE_MILLISECONDS);
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
    // Half of the delay is random, so that VMs that lost a peer at once do not reconnect at once.
    const delay = ceiling * (0.5 + Math.random() / 2);
    peer.retryAt = kernel.getMonotonicMilliseconds() + delay;
    if (peer.link === undefined) {
      this.#options.counters.drops.inc({ reason: "not_connected" }, peer.waiting.length);
      peer.waiting.length = 0;
      peer.waitingBytes = 0;
      this.failCalls("The peer cannot be reached.", to);
      this.#removeUnknownPeer(to, peer);
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
