/**
 * A relay in front of one VM's peer listener that can drop traffic from a data centre.
 *
 * The VMs of each data centre share a loopback IP address, by which the relay identifies the source
 * of a connection. A cut keeps connections open and drops their bytes in one direction.
 */

import * as net from "node:net";

/** Returns the loopback IP address of the data centre at the given position. */
export function getDataCentreAddress(position: number): string {
  return `127.0.${position + 1}.1`;
}

/** Whether traffic from one data centre to another is dropped. Both are IP addresses. */
export type CutPredicate = (from: string, to: string) => boolean;

/** Forwards connections to a VM's peer listener. */
export class PeerRelay {
  readonly #host: string;
  readonly #isCut: CutPredicate;
  readonly #sockets = new Set<net.Socket>();
  readonly #server: net.Server;

  /**
   * @param host IP address of the VM's data centre.
   * @param listenerPort Port of the VM's peer listener.
   */
  constructor(host: string, listenerPort: number, isCut: CutPredicate) {
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
    this.#forward(incoming, outgoing, () => this.#isCut(from, this.#host));
    this.#forward(outgoing, incoming, () => this.#isCut(this.#host, from));
  }

  #forward(source: net.Socket, destination: net.Socket, isCut: () => boolean): void {
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
