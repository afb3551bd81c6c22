/**
 * Stages in pieces. The pieces of all VMs meet in one queue per service, on the VM that rendezvous
 * hashing names, so that batches are full: a call to an upstream of a stage costs far more than a
 * piece of it. All decisions are free of I/O.
 */
package org.ragwortpick.batch;
