/**
 * A relay in front of one VM's peer listener, which can lose what one data centre sends.
 *
 * VMs of each data centre have an IP number of their own on loopback, by which the relay knows where
 * a connection comes from. A cut keeps connections open and loses their bytes, one way.
 */

import * as net from "node:net";

/** The IP number on loopback that stands for a data centre, by its position. */
export function getDataCentreAddress(position: number): string {
  return `127.0.${position + 1}.1`;
}

/** Tells whether what one data centre sends to another is lost. Both are IP numbers. */
export type CutTest = (from: string, to: string) => boolean;

/** Forwards connections to a VM's peer listener. */
export class PeerRelay {
  readonly #host: string;
  readonly #isCut: CutTest;
  readonly #sockets = new Set<net.Socket>();
  readonly #server: net.Server;

  /**
   * @param host IP number of the VM's data centre.
   * @param listenerPort Port of the VM's peer listener.
   */
  constructor(host: string, listenerPort: number, isCut: CutTest) {
    this.#host = host;
    this.#isCut = isCut;
    this.#server = net.createServer((socket) => this.#relay(socket, listenerPort));
  }

  async start(port: number): Promise<void> {
    await new Promise<void>((resolve) => this.#server.listen(port, this.#host, resolve));
  }

  stop(): void {
    this.#server.close();
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }

  #relay(incoming: net.Socket, listenerPort: number): void {
    const from = incoming.remoteAddress ?? "";
    const outgoing = net.connect({ port: listenerPort, host: this.#host });
    this.#pass(incoming, outgoing, () => this.#isCut(from, this.#host));
    this.#pass(outgoing, incoming, () => this.#isCut(this.#host, from));
  }

  #pass(source: net.Socket, destination: net.Socket, isCut: () => boolean): void {
    this.#sockets.add(source);
    source.setNoDelay(true);
    source.on("data", (bytes) => {
      if (!isCut()) {
        destination.write(bytes);
      }
    });
    source.on("error", () => source.destroy());
    source.on("close", () => {
      this.#sockets.delete(source);
      destination.destroy();
    });
  }
}
