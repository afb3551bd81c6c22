/**
 * Batching of the pieces of stages. Each stage service has one queue, at the collector on the VM
 * that rendezvous hashing selects, for the pieces of all VMs. A call to an upstream of a stage
 * service costs far more than each piece in it, so full batches save most of the cost. The
 * decisions are free of I/O.
 */
package org.ragwortpick.batch;
