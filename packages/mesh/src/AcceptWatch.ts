/**
 * Follows the connections that wait in the operating system. Node accepts one in each turn of the event loop, so that none
 * is left only after a turn without a new one.
 */
export class AcceptWatch {
  private hasAccepted = false;

  /** Notes that sockets will be read next. */
  public startTurn(): void {
    this.hasAccepted = false;
  }

  public noteAccepted(): void {
    this.hasAccepted = true;
  }

  /** Notes that sockets were read, and tells whether no other connection waited then. */
  public endTurn(): boolean {
    return !this.hasAccepted;
  }
}
